#ifndef EELGRASSBEND_LIB_NET_REQUEST_FRAMING_H
#define EELGRASSBEND_LIB_NET_REQUEST_FRAMING_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string_view>

namespace eelgrassbend {

/// Why a request is refused.
struct framing_defect {
    boost::beast::http::status status;
    std::string_view detail;
};

/// Whether the end of the request's body is ambiguous or cannot be found: RFC 9112 section 6 lets
/// implementations differ there, so that a body may be taken for a request of its own.
std::optional<framing_defect> find_framing_defect(const boost::beast::http::request_header<>& head);

} // namespace eelgrassbend

#endif
