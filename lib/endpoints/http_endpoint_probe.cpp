#include "eelgrassbend/endpoints/http_endpoint_probe.h"

#include "eelgrassbend/support/call_target.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace eelgrassbend {

using nlohmann::json;

http_endpoint_probe::http_endpoint_probe(http_client& client, duration timeout)
    : client(client), timeout(timeout)
{
}

/// Bounds the memory that a faulty endpoint can use on this node.
static constexpr std::size_t max_blocks_per_event = 4096;

result<load_report> parse_load_report(const std::string& text)
{
    try {
        const auto parsed = json::parse(text);
        load_report report;
        const std::chrono::milliseconds measured{parsed.at("measured_at_ms").get<std::int64_t>()};
        report.measured_at = wall_time{measured};
        report.slots = parsed.at("slots").get<std::uint32_t>();
        report.running = parsed.at("running").get<std::uint32_t>();
        report.queued = parsed.at("queued").get<std::uint32_t>();
        report.queued_prompt_tokens =
            token_count{parsed.value("queued_prompt_tokens", std::int64_t{0})};
        report.tokens_per_second = parsed.value("tokens_per_second", 0.0);
        return report;
    }
    catch (const json::exception& failure) {
        return make_error(errc::invalid_argument, "parse load report", {}, failure.what());
    }
}

static std::uint64_t parse_block(const std::string& digits)
{
    constexpr int hexadecimal = 16;
    std::uint64_t block = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), block, hexadecimal);
    return block;
}

static cache_event_kind parse_kind(const std::string& kind)
{
    if (kind == "evicted") {
        return cache_event_kind::evicted;
    }
    return kind == "cleared" ? cache_event_kind::cleared : cache_event_kind::stored;
}

static cache_event parse_event(const json& entry)
{
    cache_event event;
    event.sequence = entry.at("sequence").get<std::uint64_t>();
    event.kind = parse_kind(entry.at("kind").get<std::string>());
    for (const auto& block : entry.at("blocks")) {
        if (event.blocks.size() == max_blocks_per_event) {
            break;
        }
        event.blocks.push_back(parse_block(block.get<std::string>()));
    }
    return event;
}

result<cache_events> parse_cache_events(const std::string& text)
{
    try {
        const auto parsed = json::parse(text);
        cache_events fetched;
        fetched.next_sequence = parsed.at("next").get<std::uint64_t>();
        for (const auto& entry : parsed.at("events")) {
            fetched.events.push_back(parse_event(entry));
        }
        return fetched;
    }
    catch (const json::exception& failure) {
        return make_error(errc::invalid_argument, "parse cache events", {}, failure.what());
    }
}

/// Parses the body of a 200 answer and calls `handler` with the result or the error.
template <typename Value>
static void handle_answer(const result<http_answer>& answer,
                          result<Value> (*parse)(const std::string&),
                          const std::function<void(result<Value>)>& handler)
{
    constexpr int ok = 200;
    if (!answer) {
        handler(answer.error());
        return;
    }
    if (answer.value().status != ok) {
        handler(make_error(errc::unavailable, "probe endpoint", {},
                           "status " + std::to_string(answer.value().status)));
        return;
    }
    handler(parse(answer.value().body));
}

void http_endpoint_probe::fetch_load(const network_address& endpoint,
                                     std::function<void(result<load_report>)> handler)
{
    this->client.send({endpoint, "GET", "/v1/load", {}, this->timeout},
                      [handler = std::move(handler)](const result<http_answer>& answer) {
                          handle_answer(answer, parse_load_report, handler);
                      });
}

void http_endpoint_probe::fetch_events(const network_address& endpoint, std::uint64_t from,
                                       std::function<void(result<cache_events>)> handler)
{
    this->client.send({endpoint,
                       "GET",
                       call_target{"/v1/cache-events"}.parameter("from", from).to_string(),
                       {},
                       this->timeout},
                      [handler = std::move(handler)](const result<http_answer>& answer) {
                          handle_answer(answer, parse_cache_events, handler);
                      });
}

} // namespace eelgrassbend
