#include "request_framing.h"

#include <boost/algorithm/string/predicate.hpp>

#include <iterator>

namespace eelgrassbend {

namespace http = boost::beast::http;

static constexpr unsigned http_1_1 = 11;

// Only plain `chunked` is accepted: other codings are not decoded, and a list, a parameter or a
// quoted name is read in more than one way.
static std::optional<framing_defect> find_coding_defect(const http::request_header<>& head)
{
    const auto codings = head.equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second) {
        return std::nullopt;
    }
    if (head.version() < http_1_1) {
        return framing_defect{http::status::bad_request, "transfer coding in HTTP/1.0"};
    }
    if (std::next(codings.first) != codings.second ||
        !boost::algorithm::iequals(codings.first->value(), "chunked")) {
        return framing_defect{http::status::not_implemented, "transfer coding is not chunked"};
    }
    if (head.count(http::field::content_length) > 0) {
        return framing_defect{http::status::bad_request, "transfer coding and content length"};
    }
    return std::nullopt;
}

std::optional<framing_defect> find_framing_defect(const http::request_header<>& head)
{
    const auto lengths = head.equal_range(http::field::content_length);
    if (lengths.first != lengths.second) {
        // The parser takes the first number of a list.
        const auto value = lengths.first->value();
        if (std::next(lengths.first) != lengths.second || value.empty() ||
            value.find_first_not_of("0123456789") != value.npos) {
            return framing_defect{http::status::bad_request, "content length is not one number"};
        }
    }
    return find_coding_defect(head);
}

} // namespace eelgrassbend
