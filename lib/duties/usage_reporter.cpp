#include "eelgrassbend/duties/usage_reporter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds tick_interval{250};
/// Windows whose records are kept in memory; the report deadline of older ones has passed.
static constexpr std::size_t max_windows = 16;

/// Greatest difference between the wall clocks of two nodes.
static constexpr std::chrono::seconds clock_tolerance{1};

namespace {

/// A record of the log.
struct recorded_usage {
    usage_window window;
    usage_counts counts;
    std::optional<store_era> era; ///< in which it was written, if stated
};

} // namespace

static std::string encode(usage_window window, const usage_counts& counts, store_era era)
{
    nlohmann::json organisations = nlohmann::json::object();
    for (const auto& [id, requests] : counts) {
        organisations[id.value()] = requests;
    }
    return nlohmann::json{
        {"window", window.value()}, {"requests", organisations}, {"era", era.value()}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

static std::optional<recorded_usage> decode(const std::string& bytes)
{
    const auto parsed = nlohmann::json::parse(bytes, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("window") || !parsed.contains("requests") ||
        !parsed["window"].is_number_unsigned() || !parsed["requests"].is_object()) {
        return std::nullopt;
    }
    recorded_usage record;
    record.window = usage_window{parsed["window"].get<std::uint64_t>()};
    for (const auto& [id, requests] : parsed["requests"].items()) {
        if (!requests.is_number_unsigned()) {
            return std::nullopt;
        }
        record.counts[organisation_id{id}] = requests.get<std::uint64_t>();
    }
    if (parsed.contains("era") && parsed["era"].is_number_unsigned()) {
        record.era = store_era{parsed["era"].get<std::uint64_t>()};
    }
    return record;
}

usage_reporter::usage_reporter(record_store& store, scheduler& time, event_log& log,
                               duty_lease& lease, const usage_tracker& usage, duty_calls& calls,
                               usage_reporter_settings settings)
    : store(store),
      time(time),
      log(log),
      lease(lease),
      usage(usage),
      calls(calls),
      settings(std::move(settings)),
      timer(time, tick_interval)
{
}

void usage_reporter::start()
{
    this->timer.start([this] { this->tick(); });
}

void usage_reporter::tick()
{
    const auto token = this->lease.token();
    if (!token || this->is_call_in_flight) {
        return;
    }
    if (this->records_token != token) {
        // Another node may have appended records in the meantime.
        this->records_token = token;
        this->has_current_records = false;
        this->finished_windows.clear();
    }
    if (!this->has_current_records) {
        this->read_records();
        return;
    }
    if (const auto window = this->next_due_window()) {
        if (this->records.contains(*window)) {
            this->report(*window);
        }
        else if (this->would_be_recorded(*window)) {
            this->append_counts(*window);
        }
        else {
            this->skip(*window);
        }
    }
}

std::optional<usage_window> usage_reporter::next_due_window() const
{
    const auto now = this->time.wall_now();
    const auto current = this->usage.window_at(now);
    const auto windows_in_deadline = static_cast<std::uint64_t>(
        this->settings.report_deadline /
        (this->usage.end_of(current) - this->usage.end_of(usage_window{current.value() - 1})));
    for (auto window = usage_window{current.value() - windows_in_deadline - 1}; window < current;
         window += usage_window{1}) {
        const auto window_end = this->usage.end_of(window);
        const bool is_due = window_end + this->settings.settle_time <= now &&
                            now < window_end + this->settings.report_deadline;
        if (is_due && !this->finished_windows.contains(window)) {
            return window;
        }
    }
    return std::nullopt;
}

void usage_reporter::read_records()
{
    this->is_call_in_flight = true;
    this->store.read(this->settings.topic, this->end, duration::zero(),
                     this->scope.guard([this](const result<store_page>& page) {
                         this->is_call_in_flight = false;
                         this->on_records_read(page);
                     }));
}

void usage_reporter::on_records_read(const result<store_page>& page)
{
    if (!page) {
        this->handle_read_failure(page.error());
        return;
    }
    if (this->era && page.value().era < *this->era) {
        this->handle_read_failure(earlier_era_error("read usage"));
        return;
    }
    const auto former_era = std::exchange(this->era, page.value().era);
    if (former_era != this->era) {
        this->start_over({});
        if (former_era) {
            return; // the page is from a position of the former era
        }
    }
    const bool is_shorter = page.value().end < this->end;
    if (page.value().first_retained > this->end || page.value().is_out_of_range || is_shorter) {
        this->start_over(page.value().first_retained);
        return;
    }
    for (const auto& record : page.value().records) {
        if (auto entry = decode(record.value.value_or(std::string{}))) {
            // The store may execute an append of a former era in a later one, where it says nothing
            // of what was reported.
            if (entry->era == this->era) {
                this->first_recorded =
                    std::min(this->first_recorded.value_or(entry->window), entry->window);
                this->records.emplace(entry->window, std::move(entry->counts));
            }
        }
        else {
            this->log.write(log_level::error, "usage_record_invalid",
                            {{"offset", record.offset.value()}});
        }
        this->end = record.offset + log_offset{1};
    }
    while (this->records.size() > max_windows) {
        this->records.erase(this->records.begin());
    }
    this->has_current_records = this->end >= page.value().end;
}

// Retried at the next tick.
void usage_reporter::handle_read_failure(const error& reason)
{
    this->log.write(log_level::warning, "usage_read_failed", {{"error", reason.to_string()}});
}

// Records that are known are kept, although the log may have lost them: they may have been
// reported.
void usage_reporter::start_over(log_offset first_retained)
{
    this->end = first_retained;
    this->complete_since = this->time.wall_now();
    this->first_recorded.reset();
}

bool usage_reporter::would_be_recorded(usage_window window) const
{
    const auto due_at = this->usage.end_of(window) + this->settings.settle_time;
    return due_at >= this->complete_since + clock_tolerance ||
           (this->first_recorded && window > *this->first_recorded);
}

void usage_reporter::skip(usage_window window)
{
    this->log.write(log_level::warning, "usage_window_skipped",
                    {{"window", window.value()},
                     {"reason", "its record may be lost, and it may have been reported"}});
    this->mark_finished(window);
}

void usage_reporter::mark_finished(usage_window window)
{
    this->finished_windows.insert(window);
    while (this->finished_windows.size() > max_windows) {
        this->finished_windows.erase(this->finished_windows.begin());
    }
}

void usage_reporter::append_counts(usage_window window)
{
    auto counts = this->usage.total(window);
    this->is_call_in_flight = true;
    this->store.append(
        this->settings.topic, {{log_offset{}, {}, encode(window, counts, *this->era)}}, this->end,
        this->scope.guard([this, window, counts](const result<append_answer>& answer) {
            this->is_call_in_flight = false;
            this->on_append_done(window, counts, answer);
        }));
}

void usage_reporter::on_append_done(usage_window window, const usage_counts& counts,
                                    const result<append_answer>& answer)
{
    const bool is_appended = answer && answer.value().appended;
    if (!is_appended || answer.value().era != *this->era) {
        const char* cause =
            is_appended ? "appended to a log of a later era" : "another node appended first";
        this->log.write(
            log_level::info, "usage_append_failed",
            {{"window", window.value()}, {"error", answer ? cause : answer.error().to_string()}});
        this->has_current_records = false; // the record in the log is authoritative
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
    this->is_call_in_flight = true;
    this->calls.report_usage(
        *token, window, this->records.at(window),
        this->scope.guard([this, window, token = *token](const result<void>& answer) {
            this->is_call_in_flight = false;
            this->on_report_done(window, token, answer);
        }));
}

void usage_reporter::on_report_done(usage_window window, fencing_token token,
                                    const result<void>& answer)
{
    if (!answer) {
        this->log.write(log_level::warning, "usage_report_failed",
                        {{"window", window.value()}, {"error", answer.error().to_string()}});
        if (answer.error().code == errc::conflict) {
            this->lease.on_fenced_off(token);
        }
        return;
    }
    this->mark_finished(window);
    std::uint64_t requests = 0;
    for (const auto& [id, count] : this->records.at(window)) {
        requests += count;
    }
    this->log.write(log_level::info, "usage_reported",
                    {{"window", window.value()}, {"token", token.value()}, {"requests", requests}});
}

} // namespace eelgrassbend
