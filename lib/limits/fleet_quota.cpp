#include "eelgrassbend/limits/fleet_quota.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <cmath>

namespace eelgrassbend {

/// Parts of a burst that are given out at once, and spread over the window on top of the rate. What
/// is left covers what other nodes admit before their digests arrive.
static constexpr double burst_at_once = 0.4;
static constexpr double burst_spread = 0.45;
/// Part of a burst that lets a request in, whatever its size: what it takes beyond is paid back by
/// the rate. Otherwise large requests would wait for a full bucket while small ones empty it.
static constexpr double admitting_part = 0.1;
/// Digests that name an organisation after its total has changed; as many lost ones do no harm.
static constexpr std::uint64_t digests_with_change = 6;
/// Part of a window's units that other groups give back at most between two summaries.
static constexpr double most_returned = 0.02;
/// Time for which the others are expected to go on as before when nothing is heard of them.
static constexpr std::chrono::seconds longest_expected{3};
/// Weight of what was admitted between two summaries in the pace that is expected.
static constexpr double pace_weight = 0.15;
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
            known.since = now;
            known.elsewhere_at = now;
            known.expected_until = now;
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
        found->second.expect_elsewhere(now);
        const auto wait = found->second.bucket.wait_for(now, admitting_part * found->second.burst);
        if (wait > duration::zero()) {
            return wait;
        }
        found->second.bucket.take(now, units);
    }
    this->add_to_total(id, units);
    if (found != this->accounts.end()) {
        auto& unsent = this->since_digest[id];
        unsent += units;
        this->is_urgent = this->is_urgent || unsent > urgent_part * found->second.burst;
    }
    return std::nullopt;
}

void fleet_quota::digest_sent()
{
    ++this->digests;
    this->is_urgent = false;
    this->since_digest.clear();
}

void fleet_quota::give_back(const organisation_id& id, double units, monotonic_time now)
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
    total.changed = this->digests;
}

// A change is repeated in a few digests; what all of them lose goes along in turn.
std::map<organisation_id, double> fleet_quota::for_digest() const
{
    std::map<organisation_id, double> told;
    std::size_t index = 0;
    for (const auto& [id, total] : this->totals) {
        const bool has_turn = index++ / repeated_in_digest ==
                              this->digests % (this->totals.size() / repeated_in_digest + 1);
        if (has_turn || this->digests - total.changed < digests_with_change) {
            told[id] = total.units;
        }
    }
    return told;
}

static organisation_key key_of(const organisation_id& id)
{
    return static_cast<organisation_key>(stable_hash(id.value()));
}

compact_units fleet_quota::group_admitted() const
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

// Totals reach back to the start of others. What they admitted before this node began to count
// stands in its empty bucket already; charged again, it would keep a node that starts anew from
// admitting anything for as long as the others have been running.
double fleet_quota::account::since_counting(double total, monotonic_time now) const
{
    const std::chrono::duration<double> counted{now - this->since};
    return std::min(total, this->rate * counted.count());
}

// Between two summaries the others go on as they did.
void fleet_quota::account::expect_elsewhere(monotonic_time now)
{
    const auto until = std::min<monotonic_time>(now, this->elsewhere_at + longest_expected);
    if (until <= this->expected_until) {
        return;
    }
    const std::chrono::duration<double> span{until - this->expected_until};
    const double units = this->elsewhere_pace * span.count();
    this->bucket.take(now, units);
    this->expected += units;
    this->expected_until = until;
}

void fleet_quota::account::heard_elsewhere(double step, monotonic_time now)
{
    this->expect_elsewhere(now);
    this->bucket.take(now, step - this->expected);
    const std::chrono::duration<double> span{now - this->elsewhere_at};
    if (span.count() > 0.0) {
        const double pace = std::max(0.0, step) / span.count();
        this->elsewhere_pace += pace_weight * (pace - this->elsewhere_pace);
    }
    this->expected = 0.0;
    this->elsewhere_at = now;
    this->expected_until = now;
}

// Another node that speaks for a group has added up a little less or more than the one before it.
// What is beyond a usual step is the difference of the two, not what was admitted meanwhile; steps
// back within it are requests that were refused after all.
void fleet_quota::heard_elsewhere(const compact_units& admitted, monotonic_time now)
{
    const std::chrono::duration<double> seconds{this->window};
    for (auto& [id, known] : this->accounts) {
        const auto told = admitted.find(key_of(id));
        if (told == admitted.end()) {
            continue;
        }
        const auto [before, is_first] = this->elsewhere.try_emplace(told->first, 0.0);
        const double step = told->second - before->second;
        before->second = told->second;
        const double most = known.burst + known.rate * seconds.count();
        const double charged = step < -most_returned * most ? 0.0 : std::min(step, most);
        known.heard_elsewhere(is_first ? known.since_counting(step, now) : charged, now);
    }
}

void fleet_quota::heard(const node_id& node, std::uint64_t incarnation,
                        const std::map<organisation_id, double>& admitted, monotonic_time now)
{
    const bool is_first = !this->peers.knows(node, incarnation);
    for (const auto& [id, step] : this->peers.heard(node, incarnation, admitted)) {
        if (const auto found = this->accounts.find(id); found != this->accounts.end()) {
            auto& known = found->second;
            known.bucket.take(now, is_first ? known.since_counting(step, now) : step);
        }
    }
}

} // namespace eelgrassbend
