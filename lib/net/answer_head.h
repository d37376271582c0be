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

/// Whether a status is that of an interim answer to a client that requests no other protocol.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 199;
    constexpr unsigned switching_protocols = 101;
    return status >= first && status <= last && status != switching_protocols;
}

/// Whether a status is that of a final answer. Others than these and the interim ones are invalid
/// (RFC 9110, section 15).
[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/// Reads the head of an answer into `parser`, which must live until `done` is called. `done` is not
/// called from within this function. Errors: `http::error::header_limit` if the head has more than
/// `max_bytes` or too many fields; those of the parser and of the connection.
void async_read_answer_head(http_connection_ptr connection, answer_parser& parser,
                            std::size_t max_bytes, head_handler done);

} // namespace eelgrassbend

#endif
