#ifndef EELGRASSBEND_SERVING_SSE_H
#define EELGRASSBEND_SERVING_SSE_H

#include "eelgrassbend/support/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// Splits a stream of server-sent events into complete events without changing their bytes.
class sse_splitter {
public:
    /// Returns the events that `bytes` completes, each with its blank line. Errors:
    /// `invalid_argument` if an event is longer than `sse_parser::max_event_bytes`.
    result<std::vector<std::string>> feed(std::string_view bytes);

    /// Whether the stream has ended within an event.
    [[nodiscard]] bool is_within_event() const { return !this->pending.empty(); }

    /// Discards an incomplete event.
    void reset() { this->pending.clear(); }

private:
    std::string pending;
};

/// Splits a stream of server-sent events into the data of each event.
class sse_parser {
public:
    /// Returns the data of the events that `bytes` completes. Errors: `invalid_argument` if an
    /// event is longer than `max_event_bytes`.
    result<std::vector<std::string>> feed(std::string_view bytes);

    static constexpr std::size_t max_event_bytes = 256 * 1024;

private:
    sse_splitter splitter;
};

/// Returns the id of an encoded event; empty if it has none.
std::string sse_event_id(std::string_view event);

/// Whether the event `id` may follow the event `before`: ids increase where they are numbers.
bool is_later_event(std::string_view id, std::string_view before);

/// Encodes one event; omits the id line if `id` is empty.
std::string format_sse(std::string_view id, std::string_view data);

} // namespace eelgrassbend

#endif
