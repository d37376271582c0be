#include "plain_endpoint.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend::standin {

static constexpr std::int64_t largest_padding = 16'000'000; // bytes

static load_report empty_report(const engine_standin_settings& settings)
{
    load_report report;
    report.slots = settings.engine.slots;
    return report;
}

plain_endpoint::plain_endpoint(const engine_standin_settings& settings, scheduler& loop,
                               execution_log& executions)
    : settings(settings),
      loop(loop),
      executions(executions),
      history(settings.engine.load_report_lag, loop.now(), empty_report(settings))
{
}

void plain_endpoint::serve(const http_request& request, const answer_pointer& answer)
{
    if (this->faults.refuse || this->waiting.size() >= this->settings.engine.queue_limit) {
        standin::refuse(*answer, 503, "no room", {{"Retry-After", "1"}});
        return;
    }
    const auto entry = std::make_shared<call>(call{request, answer, nullptr});
    this->waiting.push_back(entry);
    // A call that waits is dropped with its connection; one that runs is not, as with most
    // services that write to a store.
    answer->on_closed([this, weak = std::weak_ptr<call>{entry}] {
        std::erase(this->waiting, weak.lock());
        this->note_load();
    });
    this->start_next();
}

void plain_endpoint::start_next()
{
    while (this->running < this->settings.engine.slots && !this->waiting.empty()) {
        const auto entry = this->waiting.front();
        this->waiting.pop_front();
        this->start(entry);
    }
    this->note_load();
}

void plain_endpoint::start(const call_pointer& entry)
{
    ++this->running;
    const auto& request = entry->request;
    entry->record = this->executions.start(request, this->settings.service, this->loop.wall_now());
    const auto default_time =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.service_time);
    const auto asked = request.number("ms", request.number_field("X-Simulate-Ms", -1));
    const std::chrono::duration<double, std::milli> time{asked < 0 ? default_time.count() : asked};
    const auto stretched = time * this->faults.slowdown;
    this->loop.call_after(std::chrono::duration_cast<duration>(stretched),
                          [this, entry] { this->finish(entry); });
}

void plain_endpoint::finish(const call_pointer& entry)
{
    --this->running;
    ++this->finished;
    const auto body = this->answer_body(entry->request);
    entry->record->ended_ms = to_epoch_ms(this->loop.wall_now());
    entry->record->digest = sha256_hex(body);
    this->executions.ended(*entry->record);
    if (this->faults.truncate_after_tokens >= 0) {
        this->send_truncated(entry, body);
    }
    else {
        auto fields = json_fields();
        fields.emplace_back("X-Attempt-Id", entry->record->attempt);
        entry->answer->on_sent([record = entry->record] { record->whole = true; });
        entry->answer->send(static_cast<int>(entry->request.number("status", 200)), body, fields);
    }
    this->start_next();
}

void plain_endpoint::send_truncated(const call_pointer& entry, const std::string& body) const
{
    auto fields = json_fields();
    fields.emplace_back("X-Attempt-Id", entry->record->attempt);
    entry->answer->begin(200, fields);
    const auto kept = static_cast<std::size_t>(this->faults.truncate_after_tokens);
    entry->answer->write(body.substr(0, kept));
    entry->answer->abort();
}

std::string plain_endpoint::answer_body(const http_request& request) const
{
    const auto number = std::to_string(this->finished);
    const auto padding = std::clamp<std::int64_t>(request.number("bytes", 0), 0, largest_padding);
    nlohmann::json body{{"service", this->settings.service},
                        {"endpoint", this->settings.name},
                        {"execution", this->finished},
                        {"booking", this->settings.name + "-" + number},
                        {"method", request.method},
                        {"path", request.path},
                        {"idempotency_key", request.field("Idempotency-Key")},
                        {"request_digest", sha256_hex(request.body)}};
    if (padding > 0) {
        body["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

load_report plain_endpoint::load() const
{
    const auto lag = this->settings.engine.load_report_lag;
    auto report = this->history.at(this->loop.now() - lag);
    report.measured_at = this->loop.wall_now() - lag;
    return report;
}

void plain_endpoint::note_load()
{
    load_report report = empty_report(this->settings);
    report.running = this->running;
    report.queued = static_cast<std::uint32_t>(this->waiting.size());
    this->history.record(this->loop.now(), report);
}

} // namespace eelgrassbend::standin
