#ifndef EELGRASSBEND_SERVING_SSE_H
#define EELGRASSBEND_SERVING_SSE_H

#include "eelgrassbend/support/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// Splits a stream of server-sent events into the data of each event.
class sse_parser {
public:
    /// Events that `bytes` completes. Error: `invalid_argument` if an event is too long.
    result<std::vector<std::string>> feed(std::string_view bytes);

    static constexpr std::size_t longest_event_bytes = 256 * 1024;

private:
    std::string pending;
};

/// One event as bytes; the id line is left out if `id` is empty.
std::string format_sse(std::string_view id, std::string_view data);

} // namespace eelgrassbend

#endif
