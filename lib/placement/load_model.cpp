#include "eelgrassbend/placement/load_model.h"

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

load_model::attempt_number load_model::begin(const endpoint_id& endpoint, const work_estimate& work,
                                             duration predicted, monotonic_time now)
{
    const auto number = this->next++;
    this->attempts[number] = {endpoint, work, predicted, now, false};
    this->endpoints[endpoint].own += {1, work.uncached_prompt, work.memory};
    this->unsent_prompt += work.uncached_prompt;
    return number;
}

void load_model::started(attempt_number attempt, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || std::exchange(found->second.has_started, true)) {
        return;
    }
    auto& state = this->endpoints[found->second.endpoint];
    state.own.waiting_prompt -= found->second.work.uncached_prompt;
    this->unsent_prompt += found->second.work.uncached_prompt;
    const std::chrono::duration<double> predicted{found->second.predicted};
    const std::chrono::duration<double> seen{now - found->second.began};
    if (predicted.count() <= 0.0) {
        return;
    }
    const double ratio = std::clamp(seen.count() / predicted.count(), least_pace, most_pace);
    const double before = 1.0 + (state.pace - 1.0) * remaining(state.paced, now);
    state.pace = before + pace_weight * (ratio * before - before);
    state.pace = std::clamp(state.pace, least_pace, most_pace);
    state.paced = now;
}

void load_model::ended(attempt_number attempt, attempt_result how, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto state_of = this->endpoints.find(found->second.endpoint);
    if (state_of != this->endpoints.end()) {
        auto& state = state_of->second;
        state.own.requests -= 1;
        state.own.memory -= found->second.work.memory;
        if (!found->second.has_started) {
            state.own.waiting_prompt -= found->second.work.uncached_prompt;
        }
        if (how == attempt_result::succeeded || how == attempt_result::failed) {
            const double before = state.failures * remaining(state.judged, now);
            const double outcome = how == attempt_result::failed ? 1.0 : 0.0;
            state.failures = before + failure_weight * (outcome - before);
            state.judged = now;
        }
        if (how == attempt_result::succeeded) {
            state.failed_in_row = 0;
        }
        else if (how == attempt_result::failed && ++state.failed_in_row >= failures_to_suspend) {
            const int doublings = std::min(state.failed_in_row - failures_to_suspend, 4);
            const auto span = first_suspension * (1 << doublings);
            state.suspended_until = now + std::min<duration>(span, longest_suspension);
        }
    }
    this->attempts.erase(found);
}

void load_model::reported(const endpoint_id& endpoint, const reported_load& load,
                          monotonic_time now)
{
    auto& state = this->endpoints[endpoint];
    state.slowdown = std::clamp(load.slowdown, least_pace, most_pace);
    state.slowdown_at = now;
}

void load_model::peer_work(const node_id& node, std::map<endpoint_id, endpoint_work> work)
{
    this->peers[node] = std::move(work);
}

void load_model::forget_peer(const node_id& node)
{
    this->peers.erase(node);
}

void load_model::forget(const endpoint_id& endpoint)
{
    this->endpoints.erase(endpoint);
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
    for (const auto& [node, work] : this->peers) {
        if (const auto found = work.find(endpoint); found != work.end()) {
            sum += found->second;
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
    const auto& state = found->second;
    const double learnt = 1.0 + (state.pace - 1.0) * remaining(state.paced, now);
    const bool is_recent = now - state.slowdown_at < report_time;
    return is_recent ? std::max(learnt, state.slowdown) : learnt;
}

double load_model::failure_share(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end()
               ? 0.0
               : found->second.failures * remaining(found->second.judged, now);
}

bool load_model::is_suspended(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    return found != this->endpoints.end() && found->second.suspended_until &&
           now < *found->second.suspended_until;
}

duration load_model::overdue(const endpoint_id& endpoint, monotonic_time now) const
{
    duration longest{};
    for (const auto& [number, attempt] : this->attempts) {
        if (attempt.endpoint == endpoint && !attempt.has_started) {
            longest = std::max(longest, now - attempt.began - attempt.predicted);
        }
    }
    return longest;
}

} // namespace eelgrassbend
