#include "eelgrassbend/duties/usage_reporter.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds tick_time{250};
/// Windows whose records are kept; older ones are past their due time.
static constexpr std::size_t kept_windows = 16;

static std::string encode(usage_window window, const usage_counts& counts)
{
    nlohmann::json organisations = nlohmann::json::object();
    for (const auto& [id, requests] : counts) {
        organisations[id.value()] = requests;
    }
    return nlohmann::json{{"window", window.value()}, {"requests", organisations}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

static std::optional<std::pair<usage_window, usage_counts>> decode(const std::string& bytes)
{
    const auto parsed = nlohmann::json::parse(bytes, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("window") || !parsed.contains("requests") ||
        !parsed["window"].is_number_unsigned() || !parsed["requests"].is_object()) {
        return std::nullopt;
    }
    usage_counts counts;
    for (const auto& [id, requests] : parsed["requests"].items()) {
        if (!requests.is_number_unsigned()) {
            return std::nullopt;
        }
        counts[organisation_id{id}] = requests.get<std::uint64_t>();
    }
    return std::pair{usage_window{parsed["window"].get<std::uint64_t>()}, std::move(counts)};
}

usage_reporter::usage_reporter(record_store& store, scheduler& time, event_log& log,
                               duty_lease& lease, const usage_board& board, duty_calls& calls,
                               usage_reporter_settings settings)
    : store(store),
      time(time),
      log(log),
      lease(lease),
      board(board),
      calls(calls),
      settings(std::move(settings)),
      timer(time, tick_time)
{
}

void usage_reporter::start()
{
    this->timer.start([this] { this->tick(); });
}

void usage_reporter::tick()
{
    const auto token = this->lease.token();
    if (!token || this->call_under_way) {
        return;
    }
    if (this->term != token) {
        // Another node may have written in between.
        this->term = token;
        this->records_current = false;
        this->done.clear();
    }
    if (!this->records_current) {
        this->read_records();
        return;
    }
    if (const auto window = this->next_due()) {
        if (this->records.contains(*window)) {
            this->report(*window);
        }
        else {
            this->agree(*window);
        }
    }
}

std::optional<usage_window> usage_reporter::next_due() const
{
    const auto now = this->time.wall_now();
    const auto current = this->board.window_at(now);
    const auto past = static_cast<std::uint64_t>(
        this->settings.due /
        (this->board.end_of(current) - this->board.end_of(usage_window{current.value() - 1})));
    for (auto window = usage_window{current.value() - past - 1}; window < current;
         window += usage_window{1}) {
        const auto ended = this->board.end_of(window);
        const bool is_due =
            ended + this->settings.settle <= now && now < ended + this->settings.due;
        if (is_due && !this->done.contains(window)) {
            return window;
        }
    }
    return std::nullopt;
}

void usage_reporter::read_records()
{
    this->call_under_way = true;
    this->store.read(this->settings.topic, this->end, duration::zero(),
                     this->scope.guard([this](const result<store_page>& page) {
                         this->call_under_way = false;
                         this->records_read(page);
                     }));
}

void usage_reporter::records_read(const result<store_page>& page)
{
    if (!page) {
        // Asked again at the next tick.
        this->log.write(log_level::warning, "usage_read_failed",
                        {{"error", page.error().to_string()}});
        return;
    }
    if (page.value().first_retained > this->end) {
        this->end = page.value().first_retained; // older records are past their due time
        return;
    }
    for (const auto& record : page.value().records) {
        if (auto entry = decode(record.value.value_or(std::string{}))) {
            this->records.emplace(entry->first, std::move(entry->second));
        }
        else {
            this->log.write(log_level::error, "usage_record_invalid",
                            {{"offset", record.offset.value()}});
        }
        this->end = record.offset + log_offset{1};
    }
    while (this->records.size() > kept_windows) {
        this->records.erase(this->records.begin());
    }
    this->records_current = this->end >= page.value().end;
}

void usage_reporter::agree(usage_window window)
{
    auto counts = this->board.total(window);
    this->call_under_way = true;
    this->store.append(
        this->settings.topic, {{log_offset{}, {}, encode(window, counts)}}, this->end,
        this->scope.guard([this, window, counts](const result<append_answer>& answer) {
            this->call_under_way = false;
            this->agreed(window, counts, answer);
        }));
}

void usage_reporter::agreed(usage_window window, const usage_counts& counts,
                            const result<append_answer>& answer)
{
    if (!answer || !answer.value().appended) {
        this->log.write(
            log_level::info, "usage_append_failed",
            {{"window", window.value()},
             {"error", answer ? "another node wrote first" : answer.error().to_string()}});
        this->records_current = false; // what is in the log now decides
        return;
    }
    this->end = answer.value().end;
    this->records.emplace(window, counts);
    this->report(window);
}

void usage_reporter::report(usage_window window)
{
    const auto token = this->lease.token();
    if (!token) {
        return;
    }
    this->call_under_way = true;
    this->calls.report_usage(
        *token, window, this->records.at(window),
        this->scope.guard([this, window, token = *token](const result<void>& answer) {
            this->call_under_way = false;
            this->reported(window, token, answer);
        }));
}

void usage_reporter::reported(usage_window window, fencing_token token, const result<void>& answer)
{
    if (!answer) {
        this->log.write(log_level::warning, "usage_report_failed",
                        {{"window", window.value()}, {"error", answer.error().to_string()}});
        if (answer.error().code == errc::conflict) {
            this->lease.fenced_off(token);
        }
        return;
    }
    this->done.insert(window);
    while (this->done.size() > kept_windows) {
        this->done.erase(this->done.begin());
    }
    std::uint64_t requests = 0;
    for (const auto& [id, count] : this->records.at(window)) {
        requests += count;
    }
    this->log.write(log_level::info, "usage_reported",
                    {{"window", window.value()}, {"token", token.value()}, {"requests", requests}});
}

} // namespace eelgrassbend
