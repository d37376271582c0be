#include "eelgrassbend/placement/load_model.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Weight of a new observation in the averages of an endpoint.
static constexpr double pace_weight = 0.25;
static constexpr double failure_weight = 0.2;
/// Bounds of what is believed of an endpoint's speed.
static constexpr double least_pace = 0.3;
static constexpr double most_pace = 12.0;
/// Time after which half of an observation is forgotten; neighbours on an engine's machine come
/// and go within seconds.
static constexpr std::chrono::seconds observation_half_life{3};
/// A report of the load holds for about as long as it is under way.
static constexpr std::chrono::milliseconds report_time{800};
/// Failures in a row after which an endpoint is avoided, and for how long at first and at most.
static constexpr int failures_to_suspend = 2;
static constexpr std::chrono::milliseconds first_suspension{600};
static constexpr std::chrono::milliseconds longest_suspension{5000};

static double remaining(monotonic_time since, monotonic_time now)
{
    const std::chrono::duration<double> age{now - since};
    const std::chrono::duration<double> half{observation_half_life};
    return std::exp2(-std::max(0.0, age.count()) / half.count());
}

endpoint_work& endpoint_work::operator+=(const endpoint_work& other)
{
    this->requests += other.requests;
    this->waiting_prompt += other.waiting_prompt;
    this->memory += other.memory;
    return *this;
}

endpoint_work& endpoint_work::operator-=(const endpoint_work& other)
{
    this->requests -= other.requests;
    this->waiting_prompt -= other.waiting_prompt;
    this->memory -= other.memory;
    return *this;
}

load_model::attempt_number load_model::begin(const endpoint_id& endpoint, const work_estimate& work,
                                             duration predicted, monotonic_time now)
{
    const auto number = this->next++;
    this->attempts[number] = {endpoint, work, predicted, now, false};
    auto& state = this->endpoints[endpoint];
    state.own += {1, work.uncached_prompt, work.memory};
    state.awaited.emplace(now + predicted, number);
    this->unsent_prompt += work.uncached_prompt;
    return number;
}

void load_model::learn_pace(behaviour& seen, const attempt_state& attempt, monotonic_time now)
{
    const std::chrono::duration<double> predicted{attempt.predicted};
    const std::chrono::duration<double> taken{now - attempt.began};
    if (predicted.count() <= 0.0) {
        return;
    }
    const double ratio = std::clamp(taken.count() / predicted.count(), least_pace, most_pace);
    const double before = 1.0 + (seen.pace - 1.0) * remaining(seen.paced, now);
    seen.pace = before + pace_weight * (ratio * before - before);
    seen.pace = std::clamp(seen.pace, least_pace, most_pace);
    seen.paced = now;
}

void load_model::started(attempt_number attempt, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || std::exchange(found->second.has_started, true)) {
        return;
    }
    const auto& begun = found->second;
    auto& state = this->endpoints[begun.endpoint];
    state.own.waiting_prompt -= begun.work.uncached_prompt;
    state.awaited.erase({begun.began + begun.predicted, attempt});
    this->unsent_prompt += begun.work.uncached_prompt;
    this->learn_pace(state.seen, begun, now);
}

void load_model::learn_outcome(behaviour& seen, attempt_result how, monotonic_time now)
{
    if (how != attempt_result::succeeded && how != attempt_result::failed) {
        return;
    }
    const bool has_failed = how == attempt_result::failed;
    const double before = seen.failures * remaining(seen.judged, now);
    seen.failures = before + failure_weight * ((has_failed ? 1.0 : 0.0) - before);
    seen.judged = now;
    if (!has_failed) {
        seen.failed_in_row = 0;
        return;
    }
    if (++seen.failed_in_row >= failures_to_suspend) {
        const int doublings = std::min(seen.failed_in_row - failures_to_suspend, 4);
        const auto span = first_suspension * (1 << doublings);
        seen.suspended_until = now + std::min<duration>(span, longest_suspension);
    }
}

void load_model::ended(attempt_number attempt, attempt_result how, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto& begun = found->second;
    auto& state = this->endpoints[begun.endpoint];
    state.own -= {1, begun.has_started ? 0 : begun.work.uncached_prompt, begun.work.memory};
    state.awaited.erase({begun.began + begun.predicted, attempt});
    learn_outcome(state.seen, how, now);
    this->attempts.erase(found);
}

void load_model::reported(const endpoint_id& endpoint, const reported_load& load,
                          monotonic_time now)
{
    auto& seen = this->endpoints[endpoint].seen;
    seen.slowdown = std::clamp(load.slowdown, least_pace, most_pace);
    seen.slowdown_at = now;
}

void load_model::peer_work(const node_id& node, std::map<endpoint_id, endpoint_work> work)
{
    auto& known = this->peers[node];
    for (const auto& [endpoint, before] : known) {
        auto& sum = this->peer_sums[endpoint];
        sum -= before;
        if (sum == endpoint_work{}) {
            this->peer_sums.erase(endpoint);
        }
    }
    for (const auto& [endpoint, told] : work) {
        this->peer_sums[endpoint] += told;
    }
    known = std::move(work);
}

endpoint_key key_of(const endpoint_id& endpoint)
{
    return static_cast<endpoint_key>(stable_hash(endpoint.value()));
}

compact_work load_model::group_work() const
{
    compact_work work;
    for (const auto& [endpoint, state] : this->endpoints) {
        if (state.own != endpoint_work{}) {
            work[key_of(endpoint)] += state.own;
        }
    }
    for (const auto& [endpoint, sum] : this->peer_sums) {
        work[key_of(endpoint)] += sum;
    }
    return work;
}

void load_model::work_elsewhere(std::uint64_t from, std::uint64_t to, const compact_work& work)
{
    std::erase_if(this->elsewhere, [&](const auto& entry) {
        return entry.first >= from && static_cast<std::uint64_t>(entry.first) < to;
    });
    this->elsewhere.insert(work.begin(), work.end());
}

void load_model::forget_peer(const node_id& node)
{
    if (this->peers.contains(node)) {
        this->peer_work(node, {});
        this->peers.erase(node);
    }
}

void load_model::forget(const endpoint_id& endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return;
    }
    found->second.seen = {};
    if (found->second.own == endpoint_work{}) {
        this->endpoints.erase(found);
    }
}

std::map<endpoint_id, endpoint_work> load_model::own_work() const
{
    std::map<endpoint_id, endpoint_work> work;
    for (const auto& [endpoint, state] : this->endpoints) {
        if (state.own != endpoint_work{}) {
            work.emplace(endpoint, state.own);
        }
    }
    return work;
}

endpoint_work load_model::total(const endpoint_id& endpoint) const
{
    endpoint_work sum;
    if (const auto own = this->endpoints.find(endpoint); own != this->endpoints.end()) {
        sum = own->second.own;
    }
    if (const auto told = this->peer_sums.find(endpoint); told != this->peer_sums.end()) {
        sum += told->second;
    }
    if (!this->elsewhere.empty()) {
        const auto told = this->elsewhere.find(key_of(endpoint));
        if (told != this->elsewhere.end()) {
            sum += told->second;
        }
    }
    return sum;
}

double load_model::pace(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return 1.0;
    }
    const auto& seen = found->second.seen;
    const double learnt = 1.0 + (seen.pace - 1.0) * remaining(seen.paced, now);
    const bool is_recent = now - seen.slowdown_at < report_time;
    return is_recent ? std::max(learnt, seen.slowdown) : learnt;
}

double load_model::failure_share(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return 0.0;
    }
    const auto& seen = found->second.seen;
    return seen.failures * remaining(seen.judged, now);
}

bool load_model::is_suspended(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return false;
    }
    const auto& until = found->second.seen.suspended_until;
    return until && now < *until;
}

duration load_model::overdue(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.awaited.empty()) {
        return {};
    }
    return std::max(duration{}, now - found->second.awaited.begin()->first);
}

} // namespace eelgrassbend
