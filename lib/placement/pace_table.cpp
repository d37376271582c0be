#include "eelgrassbend/placement/pace_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Half-life of an observation. Long enough to tell a slow machine from a slow request, short
/// enough to follow a machine that turns slow.
static constexpr std::chrono::seconds observation_half_life{6};
/// Weight of the assumption that an endpoint is as fast as predicted, in seconds of predicted time.
static constexpr double prior_seconds = 0.05;
/// Bounds of the ratio of one observation, so that one stalled request does not decide.
static constexpr double min_ratio = 0.2;
static constexpr double max_ratio = 8.0;
/// Rounds of digests in which changed totals are reported; all but one may be lost.
static constexpr std::uint64_t rounds_per_change = 3;
/// An endpoint's totals of one peer cannot grow faster: a digest covers some seconds at most.
static constexpr double max_step_seconds = 60.0;

static double to_seconds(duration span)
{
    return std::chrono::duration<double>{span}.count();
}

static double decay_factor(monotonic_time since, monotonic_time now)
{
    return std::exp2(-std::max(0.0, to_seconds(now - since)) / to_seconds(observation_half_life));
}

void pace_table::decayed_sums::add(double taken_seconds, double predicted_seconds,
                                   monotonic_time now)
{
    const double factor = decay_factor(this->updated_at, now);
    this->taken = this->taken * factor + taken_seconds;
    this->predicted = this->predicted * factor + predicted_seconds;
    this->updated_at = now;
}

void pace_table::record(const endpoint_id& endpoint, duration taken, duration predicted,
                        monotonic_time now)
{
    if (predicted <= duration::zero()) {
        return;
    }
    const double ratio =
        std::clamp(to_seconds(taken) / to_seconds(predicted), min_ratio, max_ratio);
    const auto bounded = part_of(ratio, predicted);
    auto& state = this->endpoints[endpoint];
    state.own.taken += bounded;
    state.own.predicted += predicted;
    state.changed_in_round = this->round;
    state.is_reported = false;
    state.sums.add(to_seconds(bounded), to_seconds(predicted), now);
}

double pace_table::pace(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return 1.0;
    }
    const auto& sums = found->second.sums;
    const double factor = decay_factor(sums.updated_at, now);
    return (prior_seconds + sums.taken * factor) / (prior_seconds + sums.predicted * factor);
}

void pace_table::set_incarnation(const endpoint_id& endpoint, std::int64_t started)
{
    auto& state = this->endpoints[endpoint];
    if (state.started != started) {
        state = {};
        state.started = started;
    }
}

void pace_table::forget(const endpoint_id& endpoint)
{
    this->endpoints.erase(endpoint);
    for (auto& [node, peer] : this->peers) {
        peer.totals.erase(endpoint);
    }
}

// A round consists of several digests, each to a part of the receivers. Totals that changed first
// are reported first; those that find no room stay due.
std::vector<pace_totals> pace_table::totals_for_digest(std::uint64_t new_round)
{
    if (new_round == this->round && !this->round_totals.empty()) {
        return this->round_totals;
    }
    this->round = new_round;
    std::vector<std::pair<std::uint64_t, endpoint_id>> due;
    for (auto& [id, state] : this->endpoints) {
        if (!state.is_reported) {
            due.emplace_back(state.changed_in_round, id);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), max_reported_paces));
    this->round_totals.clear();
    for (const auto& [changed_in_round, id] : due) {
        auto& state = this->endpoints[id];
        state.is_reported = new_round - changed_in_round + 1 >= rounds_per_change;
        auto totals = state.own;
        totals.endpoint = id;
        totals.started = state.started;
        this->round_totals.push_back(std::move(totals));
    }
    return this->round_totals;
}

void pace_table::record_peer_totals(const node_id& node, std::uint64_t incarnation,
                                    const std::vector<pace_totals>& reported, monotonic_time now)
{
    auto& peer = this->peers[node];
    if (peer.incarnation != incarnation) {
        peer = {incarnation, {}};
    }
    for (const auto& totals : reported) {
        const auto known = this->endpoints.find(totals.endpoint);
        const auto [before, is_first] = peer.totals.try_emplace(totals.endpoint, totals);
        const auto last = std::exchange(before->second, totals);
        // Totals of another incarnation, or from before this node heard the peer, tell nothing
        // about the last seconds.
        if (is_first || known == this->endpoints.end() || last.started != totals.started ||
            known->second.started != totals.started) {
            continue;
        }
        const double taken = to_seconds(totals.taken - last.taken);
        const double predicted = to_seconds(totals.predicted - last.predicted);
        if (taken > 0.0 && predicted > 0.0 && taken < max_step_seconds) {
            known->second.sums.add(taken, predicted, now);
        }
    }
}

} // namespace eelgrassbend
