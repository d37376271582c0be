#include "eelgrassbend/limits/fleet_quota.h"

#include <algorithm>

namespace eelgrassbend {

/// Parts of a burst that are given out at once, and spread over the window on top of the rate. What
/// is left covers what other nodes admit before their digests arrive.
static constexpr double burst_at_once = 0.45;
static constexpr double burst_spread = 0.45;
/// Part of a burst that lets a request in, whatever its size: what it takes beyond is paid back by
/// the rate. Otherwise large requests would wait for a full bucket while small ones empty it.
static constexpr double admitting_part = 0.1;
/// Units of one organisation, as a part of its burst, that the others should hear of at once.
static constexpr double urgent_part = 0.04;

void fleet_quota::configure(const std::vector<organisation>& organisations, monotonic_time now)
{
    const std::chrono::duration<double> seconds{this->window};
    std::map<organisation_id, account> kept;
    for (const auto& entry : organisations) {
        if (entry.rate <= 0.0) {
            continue;
        }
        auto& known = kept[entry.id];
        const auto found = this->accounts.find(entry.id);
        if (found != this->accounts.end()) {
            known = found->second;
        }
        known.rate = entry.rate + burst_spread * entry.burst / seconds.count();
        known.burst = entry.burst * burst_at_once;
        known.bucket.configure(now, known.rate * this->share, known.burst);
        if (found == this->accounts.end()) {
            // What was admitted before this process started is not known, so it counts as all.
            known.bucket.take(now, known.burst);
        }
    }
    this->accounts = std::move(kept);
}

void fleet_quota::set_heard_share(double heard, monotonic_time now)
{
    if (heard == this->share) {
        return;
    }
    this->share = heard;
    for (auto& [id, known] : this->accounts) {
        known.bucket.configure(now, known.rate * this->share, known.burst);
    }
}

std::optional<duration> fleet_quota::admit(const organisation_id& id, double units,
                                           monotonic_time now)
{
    const auto found = this->accounts.find(id);
    if (found != this->accounts.end()) {
        const auto wait = found->second.bucket.wait_for(now, admitting_part * found->second.burst);
        if (wait > duration::zero()) {
            return wait;
        }
        found->second.bucket.take(now, units);
    }
    this->totals[id] += units;
    if (found != this->accounts.end()) {
        auto& unsent = this->since_digest[id];
        unsent += units;
        this->is_urgent = this->is_urgent || unsent > urgent_part * found->second.burst;
    }
    return std::nullopt;
}

void fleet_quota::digest_sent()
{
    this->is_urgent = false;
    this->since_digest.clear();
}

void fleet_quota::give_back(const organisation_id& id, double units, monotonic_time now)
{
    if (const auto found = this->accounts.find(id); found != this->accounts.end()) {
        found->second.bucket.take(now, -units);
    }
    this->totals[id] -= units;
}

void fleet_quota::heard(const node_id& node, std::uint64_t incarnation,
                        const std::map<organisation_id, double>& admitted, monotonic_time now)
{
    auto& last = this->peers[node];
    if (last.incarnation != incarnation) {
        last = {incarnation, {}};
    }
    for (const auto& [id, total] : admitted) {
        double& before = last.admitted[id];
        if (const auto found = this->accounts.find(id); found != this->accounts.end()) {
            found->second.bucket.take(now, total - before);
        }
        before = total;
    }
}

} // namespace eelgrassbend
