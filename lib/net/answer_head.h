#ifndef EELGRASSBEND_LIB_NET_ANSWER_HEAD_H
#define EELGRASSBEND_LIB_NET_ANSWER_HEAD_H

#include "connection_pool.h"

#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <functional>

namespace eelgrassbend {

using answer_parser = boost::beast::http::basic_parser<false>;
using head_handler = std::function<void(boost::system::error_code)>;

/// Whether a status is that of an interim answer. A client that requests no other protocol gets no
/// 101.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    return status >= 100 && status <= 199 && status != 101;
}

/// Whether a status is that of a final answer. Values beyond 599 are invalid (RFC 9110, section
/// 15).
[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// Reads the head of an answer into `parser`, which must live until `done` is called. `done` is not
/// called from within this function. Errors: `http::error::header_limit` if the head has more than
/// `max_bytes` or too many fields; those of the parser and of the connection.
void async_read_answer_head(http_connection_ptr connection, answer_parser& parser,
                            std::size_t max_bytes, head_handler done);

} // namespace eelgrassbend

#endif
