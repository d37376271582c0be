#include "eelgrassbend/platform/http_platform.h"

#include "eelgrassbend/support/call_target.h"

#include "platform_json.h"

#include <absl/strings/escaping.h>

namespace eelgrassbend {

using nlohmann::json;

http_log_client::http_log_client(http_client& client, network_address platform, duration timeout)
    : client(client), platform(std::move(platform)), timeout(timeout)
{
}

/// As `convert_answer`, but tells an outage of the log from a log that cannot be reached.
template <typename Value, typename Convert>
static result<Value> convert_log_answer(const result<http_answer>& answer, const std::string& step,
                                        const std::string& peer, Convert convert)
{
    constexpr int service_unavailable = 503;
    if (answer && answer.value().status == service_unavailable) {
        return make_error(errc::unavailable, step, peer, log_outage_detail);
    }
    return convert_answer<Value>(answer, step, peer, convert);
}

static std::vector<log_offset> read_offsets(const json& answer)
{
    std::vector<log_offset> offsets;
    for (const auto& offset : answer.at("offsets")) {
        offsets.emplace_back(offset.get<std::uint64_t>());
    }
    return offsets;
}

void http_log_client::append(const stream_name& stream, std::vector<new_log_record> records,
                             append_handler handler)
{
    json list = json::array();
    for (const auto& record : records) {
        list.push_back(
            {{"id", record.id.value()}, {"payload", absl::Base64Escape(record.payload)}});
    }
    const json body{{"records", std::move(list)}};
    http_call call{this->platform, "POST", call_target{"/log"}.segment(stream.value()).to_string(),
                   body.dump(), this->timeout};
    const auto count = records.size();
    this->client.send(
        std::move(call), [handler = std::move(handler), count, stream,
                          peer = this->platform.to_string()](const result<http_answer>& answer) {
            auto offsets = convert_log_answer<std::vector<log_offset>>(
                answer, "append to " + stream.value(), peer, read_offsets);
            if (offsets && offsets.value().size() != count) {
                handler(make_error(errc::outcome_unknown, "append to " + stream.value(), peer,
                                   "the answer has a wrong number of offsets"));
                return;
            }
            handler(std::move(offsets));
        });
}

static log_record read_record(const json& entry)
{
    log_record record;
    record.offset = log_offset{entry.at("offset").get<std::uint64_t>()};
    record.id = record_id{entry.at("id").get<std::string>()};
    record.appended_at =
        wall_time{std::chrono::milliseconds{entry.at("time_ms").get<std::int64_t>()}};
    // A payload that is not base64 cannot be one of ours; it is read as empty and rejected there.
    if (!absl::Base64Unescape(entry.at("payload").get<std::string>(), &record.payload)) {
        record.payload.clear();
    }
    return record;
}

static log_page read_page(const json& answer)
{
    log_page page;
    page.first_retained = log_offset{answer.at("first").get<std::uint64_t>()};
    page.end = log_offset{answer.at("end").get<std::uint64_t>()};
    for (const auto& entry : answer.at("records")) {
        page.records.push_back(read_record(entry));
    }
    return page;
}

void http_log_client::read(const stream_name& stream, log_offset from, std::size_t limit,
                           read_handler handler)
{
    http_call call{this->platform,
                   "GET",
                   call_target{"/log"}
                       .segment(stream.value())
                       .parameter("from", from.value())
                       .parameter("limit", limit)
                       .to_string(),
                   {},
                   this->timeout};
    this->client.send(std::move(call), [handler = std::move(handler), stream,
                                        peer = this->platform.to_string()](
                                           const result<http_answer>& answer) {
        handler(convert_log_answer<log_page>(answer, "read " + stream.value(), peer, read_page));
    });
}

} // namespace eelgrassbend
