#include "log_service.h"

#include "eelgrassbend/standin/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend::standin {

using nlohmann::json;

static constexpr std::int64_t default_page = 1000;   // records
static constexpr std::int64_t largest_page = 10'000; // records
static constexpr std::int64_t longest_wait = 60'000; // milliseconds

log_service::log_service(const platform_standin_settings& settings, const platform_faults& faults,
                         event_loop& loop, random_source& random)
    : faults(faults),
      loop(loop),
      random(random),
      store(settings.retention_time, settings.retention_records),
      rate(settings.appends_per_second)
{
}

static std::vector<stored_record> parse_records(const http_request& request)
{
    const auto body = json::parse(request.body);
    std::vector<stored_record> records;
    for (const auto& given : body.at("records")) {
        stored_record record;
        record.id = given.at("id").get<std::string>();
        record.payload = given.at("payload").get<std::string>();
        records.push_back(std::move(record));
    }
    return records;
}

// A slow log takes half of its time before an append has effect and half of it after.
void log_service::serve(const std::string& stream, const http_request& request,
                        const answer_pointer& answer)
{
    if (request.method == "POST") {
        auto records = parse_records(request);
        this->after(this->faults.log_slow / 2,
                    [this, stream, answer, given = std::move(records)]() mutable {
                        this->append(stream, std::move(given), answer);
                    });
        return;
    }
    if (request.method == "GET") {
        this->after(this->faults.log_slow,
                    [this, stream, request, answer] { this->read(stream, request, answer); });
        return;
    }
    refuse(*answer, 405, "neither GET nor POST");
}

void log_service::after(duration delay, std::function<void()> action)
{
    if (delay <= duration::zero()) {
        action();
        return;
    }
    this->loop.call_after(delay, std::move(action));
}

void log_service::append(const std::string& stream, std::vector<stored_record> given,
                         const answer_pointer& answer)
{
    if (this->faults.log_down) {
        refuse(*answer, 503, "log is down");
        return;
    }
    if (!this->rate.take(this->loop.now())) {
        refuse(*answer, 429, "over the rate of appends", {{"Retry-After", "1"}});
        return;
    }
    ++this->appends;
    this->records += given.size();
    const auto count = given.size();
    const auto first = this->store.append(stream, std::move(given), this->loop.wall_now());
    this->wake_readers(stream);
    if (random_unit(this->random) < this->faults.log_lose_answers) {
        answer->abort();
        return;
    }
    json offsets = json::array();
    for (std::size_t index = 0; index < count; ++index) {
        offsets.push_back(first + index);
    }
    this->after(this->faults.log_slow / 2, [answer, body = json{{"offsets", offsets}}.dump()] {
        answer->send(200, body, json_fields());
    });
}

void log_service::read(const std::string& stream, const http_request& request,
                       const answer_pointer& answer)
{
    waiting_read reader;
    reader.stream = stream;
    reader.from = static_cast<std::uint64_t>(std::max<std::int64_t>(0, request.number("from", 0)));
    reader.limit = static_cast<std::size_t>(
        std::clamp<std::int64_t>(request.number("limit", default_page), 0, largest_page));
    reader.answer = answer;
    const auto wait = std::clamp<std::int64_t>(request.number("wait_ms", 0), 0, longest_wait);
    const auto page = this->store.read(stream, reader.from, 0, this->loop.wall_now());
    if (this->faults.log_down || wait == 0 || reader.from < page.end) {
        this->answer_read(reader);
        return;
    }
    this->wait(std::move(reader), std::chrono::milliseconds{wait});
}

void log_service::wait(waiting_read reader, duration span)
{
    const auto place = this->waiting.insert(this->waiting.end(), std::move(reader));
    place->timeout = this->loop.call_after(span, [this, place] {
        const auto expired = std::move(*place);
        this->waiting.erase(place);
        this->answer_read(expired);
    });
    place->answer->on_closed([this, place] {
        this->loop.cancel(place->timeout);
        this->waiting.erase(place);
    });
}

void log_service::wake_readers(const std::string& stream)
{
    for (auto place = this->waiting.begin(); place != this->waiting.end();) {
        const auto next = std::next(place);
        if (place->stream == stream) {
            this->loop.cancel(place->timeout);
            const auto ready = std::move(*place);
            this->waiting.erase(place);
            this->answer_read(ready);
        }
        place = next;
    }
}

void log_service::answer_read(const waiting_read& reader)
{
    reader.answer->on_closed(nullptr);
    if (this->faults.log_down) {
        refuse(*reader.answer, 503, "log is down");
        return;
    }
    const auto page =
        this->store.read(reader.stream, reader.from, reader.limit, this->loop.wall_now());
    json records = json::array();
    for (const auto& record : page.records) {
        const auto since_epoch = record.appended_at.time_since_epoch();
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
        records.push_back({{"offset", record.offset},
                           {"id", record.id},
                           {"time_ms", time.count()},
                           {"payload", record.payload}});
    }
    const json body{{"first", page.first}, {"end", page.end}, {"records", records}};
    reader.answer->send(200, body.dump(), json_fields());
}

} // namespace eelgrassbend::standin
