#include "eelgrassbend/limits/fleet_quota.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <cmath>

namespace eelgrassbend {

/// Fractions of a burst granted at once, and spread over the window on top of the rate. The rest
/// covers what other nodes admit before their digests arrive.
static constexpr double immediate_burst_fraction = 0.4;
static constexpr double spread_burst_fraction = 0.45;
/// Fraction of a burst that admits a request of any size; what the request takes beyond it is
/// repaid by the rate. Otherwise large requests would wait for a full bucket while small ones empty
/// it.
static constexpr double admission_burst_fraction = 0.1;
/// Digests that name an organisation after its total has changed; all but one of them may be lost.
static constexpr std::uint64_t digests_per_change = 6;
/// Greatest decrease of the total of other groups between two summaries, as a fraction of a
/// window's units.
static constexpr double max_decrease_fraction = 0.02;
/// Time for which other groups are assumed to admit at the last known rate when no report arrives.
static constexpr std::chrono::seconds max_expected_time{3};
/// Weight of the latest interval between summaries in the average remote rate.
static constexpr double remote_rate_weight = 0.15;
/// Units of one organisation, as a fraction of its burst, that make a digest urgent.
static constexpr double urgent_burst_fraction = 0.04;

void fleet_quota::configure(const std::vector<organisation>& organisations, monotonic_time now)
{
    const std::chrono::duration<double> seconds{this->window};
    std::map<organisation_id, account> configured;
    for (const auto& entry : organisations) {
        if (entry.rate <= 0.0) {
            continue;
        }
        auto& known = configured[entry.id];
        const auto found = this->accounts.find(entry.id);
        if (found != this->accounts.end()) {
            known = found->second;
        }
        known.rate = entry.rate + spread_burst_fraction * entry.burst / seconds.count();
        known.burst = entry.burst * immediate_burst_fraction;
        known.bucket.configure(now, known.rate * this->reporting_share, known.burst);
        if (found == this->accounts.end()) {
            // What was admitted before this process started is unknown, so the bucket starts empty.
            known.bucket.take(now, known.burst);
            known.counting_since = now;
            known.remote_reported_at = now;
            known.expected_charged_until = now;
        }
    }
    this->accounts = std::move(configured);
}

void fleet_quota::set_reporting_share(double new_share, monotonic_time now)
{
    if (new_share == this->reporting_share) {
        return;
    }
    this->reporting_share = new_share;
    for (auto& [id, known] : this->accounts) {
        known.bucket.configure(now, known.rate * this->reporting_share, known.burst);
    }
}

std::optional<duration> fleet_quota::admit(const organisation_id& id, double units,
                                           monotonic_time now)
{
    const auto found = this->accounts.find(id);
    if (found != this->accounts.end()) {
        found->second.charge_expected_remote(now);
        const auto wait =
            found->second.bucket.wait_for(now, admission_burst_fraction * found->second.burst);
        if (wait > duration::zero()) {
            return wait;
        }
        found->second.bucket.take(now, units);
    }
    this->add_to_total(id, units);
    if (found != this->accounts.end()) {
        auto& unsent = this->since_digest[id];
        unsent += units;
        this->is_urgent = this->is_urgent || unsent > urgent_burst_fraction * found->second.burst;
    }
    return std::nullopt;
}

void fleet_quota::on_digest_sent()
{
    ++this->digest_count;
    this->is_urgent = false;
    this->since_digest.clear();
}

void fleet_quota::refund(const organisation_id& id, double units, monotonic_time now)
{
    if (const auto found = this->accounts.find(id); found != this->accounts.end()) {
        found->second.bucket.take(now, -units);
    }
    this->add_to_total(id, -units);
}

void fleet_quota::add_to_total(const organisation_id& id, double units)
{
    auto& total = this->totals[id];
    total.units += units;
    total.changed_at_digest = this->digest_count;
}

// A change is repeated in a few digests; if all of them are lost, the rotation still sends it.
std::map<organisation_id, double> fleet_quota::totals_for_digest() const
{
    std::map<organisation_id, double> reported;
    std::size_t index = 0;
    for (const auto& [id, total] : this->totals) {
        const bool is_in_rotation =
            index++ / rotating_totals_per_digest ==
            this->digest_count % (this->totals.size() / rotating_totals_per_digest + 1);
        if (is_in_rotation || this->digest_count - total.changed_at_digest < digests_per_change) {
            reported[id] = total.units;
        }
    }
    return reported;
}

static organisation_key key_of(const organisation_id& id)
{
    return static_cast<organisation_key>(stable_hash(id.value()));
}

compact_units fleet_quota::group_totals() const
{
    compact_units sums;
    for (const auto& [id, total] : this->totals) {
        sums[key_of(id)] += total.units;
    }
    for (const auto& [id, units] : this->peers.sums()) {
        sums[key_of(id)] += units;
    }
    return sums;
}

double fleet_quota::fleet_total(const organisation_id& id) const
{
    double sum = 0.0;
    if (const auto own = this->totals.find(id); own != this->totals.end()) {
        sum += own->second.units;
    }
    if (const auto peer = this->peers.sums().find(id); peer != this->peers.sums().end()) {
        sum += peer->second;
    }
    if (const auto remote = this->remote_totals.find(key_of(id));
        remote != this->remote_totals.end()) {
        sum += remote->second;
    }
    return sum;
}

// Totals count from the start of the other nodes. What they admitted before this node began to
// count is covered by its initially empty bucket; charged again, it would keep a restarted node
// from admitting anything for as long as the others have been running.
double fleet_quota::account::chargeable_units(double total, monotonic_time now) const
{
    const std::chrono::duration<double> counted{now - this->counting_since};
    return std::min(total, this->rate * counted.count());
}

// Between two summaries the other groups are assumed to admit at their last rate.
void fleet_quota::account::charge_expected_remote(monotonic_time now)
{
    const auto until = std::min<monotonic_time>(now, this->remote_reported_at + max_expected_time);
    if (until <= this->expected_charged_until) {
        return;
    }
    const std::chrono::duration<double> span{until - this->expected_charged_until};
    const double units = this->remote_rate * span.count();
    this->bucket.take(now, units);
    this->expected_units += units;
    this->expected_charged_until = until;
}

void fleet_quota::account::charge_remote(double step, monotonic_time now)
{
    this->charge_expected_remote(now);
    this->bucket.take(now, step - this->expected_units);
    const std::chrono::duration<double> span{now - this->remote_reported_at};
    if (span.count() > 0.0) {
        const double measured_rate = std::max(0.0, step) / span.count();
        this->remote_rate += remote_rate_weight * (measured_rate - this->remote_rate);
    }
    this->expected_units = 0.0;
    this->remote_reported_at = now;
    this->expected_charged_until = now;
}

// A new representative of a group may report slightly different sums than the one before it. A step
// beyond the usual range is that difference and not units admitted meanwhile; decreases within the
// range are requests that were refused after all.
void fleet_quota::record_remote_totals(const compact_units& admitted, monotonic_time now)
{
    const std::chrono::duration<double> seconds{this->window};
    for (auto& [id, known] : this->accounts) {
        const auto total = admitted.find(key_of(id));
        if (total == admitted.end()) {
            continue;
        }
        const auto [previous, is_first] = this->remote_totals.try_emplace(total->first, 0.0);
        const double step = total->second - previous->second;
        previous->second = total->second;
        const double max_units = known.burst + known.rate * seconds.count();
        const double charged =
            step < -max_decrease_fraction * max_units ? 0.0 : std::min(step, max_units);
        known.charge_remote(is_first ? known.chargeable_units(step, now) : charged, now);
    }
}

void fleet_quota::record_peer_totals(const node_id& node, std::uint64_t incarnation,
                                     const std::map<organisation_id, double>& admitted,
                                     monotonic_time now)
{
    const bool is_first = !this->peers.knows(node, incarnation);
    for (const auto& [id, step] : this->peers.heard(node, incarnation, admitted)) {
        if (const auto found = this->accounts.find(id); found != this->accounts.end()) {
            auto& known = found->second;
            known.bucket.take(now, is_first ? known.chargeable_units(step, now) : step);
        }
    }
}

} // namespace eelgrassbend
