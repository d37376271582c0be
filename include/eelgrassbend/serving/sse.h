#ifndef EELGRASSBEND_SERVING_SSE_H
#define EELGRASSBEND_SERVING_SSE_H

#include "eelgrassbend/support/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// Splits a stream of server-sent events into whole events, byte for byte.
class sse_splitter {
public:
    /// Events that `bytes` completes, each with its blank line. Error: `invalid_argument` if an
    /// event is too long.
    result<std::vector<std::string>> feed(std::string_view bytes);

    /// Whether the stream has ended within an event.
    [[nodiscard]] bool is_within_event() const { return !this->pending.empty(); }

    /// Drops the beginning of an event whose rest will not come.
    void reset() { this->pending.clear(); }

private:
    std::string pending;
};

/// Splits a stream of server-sent events into the data of each event.
class sse_parser {
public:
    /// Events that `bytes` completes. Error: `invalid_argument` if an event is too long.
    result<std::vector<std::string>> feed(std::string_view bytes);

    static constexpr std::size_t max_event_bytes = 256 * 1024;

private:
    sse_splitter splitter;
};

/// The id of an event given as bytes; empty if it has none.
std::string sse_event_id(std::string_view event);

/// One event as bytes; the id line is left out if `id` is empty.
std::string format_sse(std::string_view id, std::string_view data);

} // namespace eelgrassbend

#endif
