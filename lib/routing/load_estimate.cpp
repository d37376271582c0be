#include "eelgrassbend/routing/load_estimate.h"

#include <algorithm>
#include <cassert>

namespace eelgrassbend {

namespace {

/// Reports older than this are not corrected any further.
constexpr duration history_span = std::chrono::seconds{10};
constexpr std::size_t history_limit = 256;
/// Slots of an endpoint that has not reported.
constexpr std::uint32_t unreported_slots = 8;

} // namespace

void load_estimate::dispatched(monotonic_time now, request_class size, std::int64_t uncached)
{
    this->remember(now);
    ++this->own_count;
    ++this->sent_count;
    this->own_pending += uncached;
    if (size == request_class::long_running) {
        ++this->own_long_count;
    }
}

void load_estimate::prompt_done(std::int64_t uncached)
{
    this->own_pending -= uncached;
}

void load_estimate::finished(monotonic_time now, request_class size)
{
    assert(this->own_count > 0 && "more attempts ended than were dispatched");
    this->remember(now);
    --this->own_count;
    if (size == request_class::long_running) {
        --this->own_long_count;
    }
}

void load_estimate::reported(monotonic_time now, duration age, const load_report& report)
{
    const auto then = this->at(now - age);
    const double all = static_cast<double>(report.running) + report.queued;
    this->slot_count = report.slots;
    this->others_at_report = std::max(0.0, all - then.own);
    this->others_pending =
        std::max<std::int64_t>(0, report.queued_prompt_tokens.value() - then.pending);
}

double load_estimate::others() const
{
    return this->others_at_report;
}

std::uint32_t load_estimate::slots() const
{
    return this->slot_count == 0 ? unreported_slots : this->slot_count;
}

std::int64_t load_estimate::pending_prompt_tokens() const
{
    return std::max<std::int64_t>(0, this->own_pending) + this->others_pending;
}

void load_estimate::remember(monotonic_time now)
{
    this->history.push_back({now, this->own_count, this->sent_count, this->own_pending});
    while (this->history.size() > history_limit ||
           now - this->history.front().time > history_span) {
        this->history.pop_front();
    }
}

load_estimate::sample load_estimate::at(monotonic_time time) const
{
    // Each sample holds the counts until its time.
    const auto later = std::ranges::lower_bound(this->history, time, {}, &sample::time);
    if (later != this->history.end()) {
        return *later;
    }
    return {time, this->own_count, this->sent_count, this->own_pending};
}

} // namespace eelgrassbend
