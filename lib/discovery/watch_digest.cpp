#include "eelgrassbend/discovery/watch_digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

namespace {

constexpr duration min_interval = std::chrono::seconds{1};
/// Bytes of framing, authentication and network headers around a digest.
constexpr std::size_t message_overhead = 120;
/// Fields of one report, including the name of the endpoint.
constexpr std::size_t report_fields = 7;

} // namespace

std::string encode(const watch_digest& digest)
{
    auto reports = nlohmann::json::array();
    for (const auto& [endpoint, report] : digest.reports) {
        const auto measured = std::chrono::duration_cast<std::chrono::milliseconds>(
            report.measured_at.time_since_epoch());
        reports.push_back({endpoint.value(), measured.count(), report.slots, report.running,
                           report.queued, report.queued_prompt_tokens.value(),
                           static_cast<float>(report.tokens_per_second)});
    }
    const auto packed = nlohmann::json::to_msgpack({digest.from.value(), reports});
    return {packed.begin(), packed.end()};
}

static error malformed(const std::string& detail)
{
    return make_error(errc::invalid_argument, "decode watch digest", {}, detail);
}

static bool is_well_formed(const nlohmann::json& fields)
{
    if (!fields.is_array() || fields.size() != report_fields || !fields[0].is_string()) {
        return false;
    }
    return std::all_of(fields.begin() + 1, fields.end(),
                       [](const nlohmann::json& field) { return field.is_number(); });
}

static watched_report decode_report(const nlohmann::json& fields)
{
    load_report report;
    report.measured_at = wall_time{std::chrono::milliseconds{fields[1].get<std::int64_t>()}};
    report.slots = fields[2].get<std::uint32_t>();
    report.running = fields[3].get<std::uint32_t>();
    report.queued = fields[4].get<std::uint32_t>();
    report.queued_prompt_tokens = token_count{fields[5].get<std::int64_t>()};
    report.tokens_per_second = fields[6].get<double>();
    return {endpoint_id{fields[0].get<std::string>()}, report};
}

result<watch_digest> decode_watch_digest(const std::string& bytes)
{
    const auto fields = nlohmann::json::from_msgpack(bytes, true, false);
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_string() ||
        !fields[1].is_array()) {
        return malformed("not a digest");
    }
    watch_digest digest;
    digest.from = node_id{fields[0].get<std::string>()};
    for (const auto& report : fields[1]) {
        if (!is_well_formed(report)) {
            return malformed("not a report");
        }
        digest.reports.push_back(decode_report(report));
    }
    return digest;
}

duration watch_digest_interval(std::size_t bytes, std::size_t receivers)
{
    const auto total = static_cast<double>((bytes + message_overhead) * receivers);
    const std::chrono::duration<double> paced{total / static_cast<double>(watch_bytes_per_second)};
    return std::max(min_interval, std::chrono::duration_cast<duration>(paced));
}

} // namespace eelgrassbend
