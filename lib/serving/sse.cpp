#include "eelgrassbend/serving/sse.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace eelgrassbend {

static std::string_view strip_carriage_return(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

/// Returns the value of a line that starts with `field`, without the space after it; nothing for
/// other lines.
static std::optional<std::string_view> field_value(std::string_view line, std::string_view field)
{
    if (!line.starts_with(field)) {
        return std::nullopt;
    }
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

/// Returns the data lines of one event, joined by line feeds.
static std::string event_data(std::string_view event)
{
    constexpr std::string_view field = "data:";
    std::string data;
    bool first = true;
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const auto value = field_value(strip_carriage_return(event.substr(0, end)), field);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!value) {
            continue;
        }
        if (!first) {
            data += '\n';
        }
        data += *value;
        first = false;
    }
    return data;
}

/// Returns the length of the first event with its blank line; npos if it is incomplete.
static std::size_t event_length(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto with_returns = text.find("\r\n\r\n");
    if (with_returns != std::string_view::npos && with_returns < plain) {
        return with_returns + 4;
    }
    return plain == std::string_view::npos ? plain : plain + 2;
}

result<std::vector<std::string>> sse_splitter::feed(std::string_view bytes)
{
    this->pending += bytes;
    std::vector<std::string> events;
    std::size_t consumed = 0;
    while (true) {
        const auto rest = std::string_view{this->pending}.substr(consumed);
        const auto length = event_length(rest);
        if (length == std::string_view::npos) {
            break;
        }
        events.emplace_back(rest.substr(0, length));
        consumed += length;
    }
    this->pending.erase(0, consumed);
    if (this->pending.size() > sse_parser::max_event_bytes) {
        return make_error(errc::invalid_argument, "read event stream", {}, "event is too long");
    }
    return events;
}

std::string sse_event_id(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        if (const auto id = field_value(strip_carriage_return(event.substr(0, end)), "id:")) {
            return std::string{*id};
        }
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return {};
}

static std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} && end == text.data() + text.size() ? std::optional{number}
                                                                      : std::nullopt;
}

bool is_later_event(std::string_view id, std::string_view before)
{
    const auto number = parse_number(id);
    const auto number_before = parse_number(before);
    return !number || !number_before || *number > *number_before;
}

result<std::vector<std::string>> sse_parser::feed(std::string_view bytes)
{
    auto events = this->splitter.feed(bytes);
    if (!events) {
        return events.error();
    }
    std::vector<std::string> contents;
    for (const auto& event : events.value()) {
        if (auto data = event_data(event); !data.empty()) {
            contents.push_back(std::move(data));
        }
    }
    return contents;
}

std::string format_sse(std::string_view id, std::string_view data)
{
    std::string text;
    if (!id.empty()) {
        text += "id: ";
        text += id;
        text += '\n';
    }
    text += "data: ";
    text += data;
    text += "\n\n";
    return text;
}

} // namespace eelgrassbend
