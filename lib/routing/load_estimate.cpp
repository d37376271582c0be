#include "eelgrassbend/routing/load_estimate.h"

#include <algorithm>
#include <cassert>

namespace eelgrassbend {

namespace {

/// Maximum age of a sample. A report measured before the oldest retained sample is compared with
/// that sample.
constexpr duration history_span = std::chrono::seconds{10};
constexpr std::size_t history_limit = 256;
/// Weight of the latest report in the moving average of the attempts that neither this node nor a
/// peer sent.
constexpr double unattributed_weight = 0.3;
/// Assumed slots of an endpoint that has not reported.
constexpr std::uint32_t unreported_slots = 8;

} // namespace

void load_estimate::add_attempt(monotonic_time now, request_class size, std::int64_t uncached)
{
    this->record_sample(now);
    ++this->own_count;
    this->own_pending += uncached;
    if (size == request_class::long_running) {
        ++this->own_long_count;
    }
}

void load_estimate::remove_pending_prompt(std::int64_t uncached)
{
    this->own_pending -= uncached;
}

void load_estimate::remove_attempt(monotonic_time now, request_class size)
{
    assert(this->own_count > 0 && "more attempts ended than were dispatched");
    this->record_sample(now);
    --this->own_count;
    if (size == request_class::long_running) {
        --this->own_long_count;
    }
}

void load_estimate::apply_report(monotonic_time now, duration age, const load_report& report)
{
    const auto then = this->sample_at(now - age);
    const double all = static_cast<double>(report.running) + report.queued;
    this->slot_count = report.slots;
    const double rest = std::max(0.0, all - static_cast<double>(then.known_attempts));
    // Peer digests are delayed too, so a report may differ from the known attempts by a few for a
    // short time. The moving average smooths this; it is not needed if no peer reports usage.
    const double weight = this->by_peer.empty() ? 1.0 : unattributed_weight;
    this->unattributed_attempts += (rest - this->unattributed_attempts) * weight;
    this->unattributed_tokens =
        std::max<std::int64_t>(0, report.queued_prompt_tokens.value() - then.pending_tokens);
}

void load_estimate::set_peer_usage(monotonic_time now, const node_id& peer,
                                   const endpoint_usage& usage)
{
    this->record_sample(now);
    const auto& before = this->by_peer[peer];
    this->peer_count += std::int64_t{usage.outstanding} - before.outstanding;
    this->peer_pending += usage.pending_prompt_tokens - before.pending_prompt_tokens;
    if (usage.outstanding == 0 && !usage.is_suspected) {
        this->by_peer.erase(peer);
        return;
    }
    this->by_peer[peer] = usage;
}

std::size_t load_estimate::suspecting_peer_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->by_peer, [](const auto& entry) { return entry.second.is_suspected; }));
}

double load_estimate::other_attempts() const
{
    return static_cast<double>(this->peer_count) + this->unattributed_attempts;
}

std::uint32_t load_estimate::slots() const
{
    return this->slot_count == 0 ? unreported_slots : this->slot_count;
}

std::int64_t load_estimate::pending_prompt_tokens() const
{
    return this->own_pending + this->peer_pending + this->unattributed_tokens;
}

void load_estimate::record_sample(monotonic_time now)
{
    this->history.push_back(this->current_sample(now));
    while (this->history.size() > history_limit ||
           now - this->history.front().time > history_span) {
        this->history.pop_front();
    }
}

load_estimate::sample load_estimate::sample_at(monotonic_time time) const
{
    // Each sample holds the counts that were valid up to its time.
    const auto later = std::ranges::lower_bound(this->history, time, {}, &sample::time);
    if (later != this->history.end()) {
        return *later;
    }
    return this->current_sample(time);
}

load_estimate::sample load_estimate::current_sample(monotonic_time time) const
{
    return {time, this->own_count + this->peer_count, this->own_pending + this->peer_pending};
}

} // namespace eelgrassbend
