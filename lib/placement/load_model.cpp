#include "eelgrassbend/placement/load_model.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Weights of a new observation in the moving averages of an endpoint.
static constexpr double slowdown_weight = 0.25;
static constexpr double failure_weight = 0.2;
/// Bounds of the estimated slowdown of an endpoint.
static constexpr double min_slowdown = 0.3;
static constexpr double max_slowdown = 12.0;
/// Half-life of an observation. Other workloads on an engine's machine come and go within seconds.
static constexpr std::chrono::seconds observation_half_life{3};
/// Age up to which a load report is used; about the time that a report is in flight.
static constexpr std::chrono::milliseconds report_lifetime{800};
/// Consecutive failures after which an endpoint is suspended, and the bounds of the suspension.
static constexpr int failures_to_suspend = 2;
static constexpr std::chrono::milliseconds initial_suspension{600};
static constexpr std::chrono::milliseconds max_suspension{5000};

static double decay_factor(monotonic_time since, monotonic_time now)
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

load_model::attempt_number load_model::begin_attempt(const endpoint_id& endpoint,
                                                     const work_estimate& work, duration predicted,
                                                     monotonic_time now)
{
    const auto number = this->next_attempt++;
    this->attempts[number] = {endpoint, work, predicted, now, false};
    auto& state = this->endpoints[endpoint];
    state.own += {1, work.uncached_prompt, work.memory};
    state.awaiting_first_byte.emplace(now + predicted, number);
    this->unreported_prompt_tokens += work.uncached_prompt;
    return number;
}

void load_model::update_slowdown(behaviour& observed, const attempt_state& attempt,
                                 monotonic_time now)
{
    const std::chrono::duration<double> predicted{attempt.predicted};
    const std::chrono::duration<double> taken{now - attempt.began_at};
    if (predicted.count() <= 0.0) {
        return;
    }
    const double ratio = std::clamp(taken.count() / predicted.count(), min_slowdown, max_slowdown);
    const double before =
        1.0 + (observed.observed_slowdown - 1.0) * decay_factor(observed.observed_at, now);
    observed.observed_slowdown = before + slowdown_weight * (ratio - before);
    observed.observed_at = now;
}

void load_model::record_first_byte(attempt_number attempt, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || std::exchange(found->second.has_first_byte, true)) {
        return;
    }
    const auto& entry = found->second;
    auto& state = this->endpoints[entry.endpoint];
    state.own.waiting_prompt -= entry.work.uncached_prompt;
    state.awaiting_first_byte.erase({entry.began_at + entry.predicted, attempt});
    this->unreported_prompt_tokens += entry.work.uncached_prompt;
    this->update_slowdown(state.observed, entry, now);
    if (entry.work.shares_pace) {
        // The reported slowdown changes many times a second and must not count twice.
        const auto expected = part_of(reported_slowdown(state.observed, now), entry.predicted);
        this->pace_of_endpoints.record(entry.endpoint, now - entry.began_at, expected, now);
    }
}

void load_model::update_failures(behaviour& observed, attempt_result result, monotonic_time now)
{
    if (result != attempt_result::succeeded && result != attempt_result::failed) {
        return;
    }
    const bool has_failed = result == attempt_result::failed;
    const double before = observed.failure_share * decay_factor(observed.failure_share_at, now);
    observed.failure_share = before + failure_weight * ((has_failed ? 1.0 : 0.0) - before);
    observed.failure_share_at = now;
    if (!has_failed) {
        observed.consecutive_failures = 0;
        return;
    }
    if (++observed.consecutive_failures >= failures_to_suspend) {
        const int doublings = std::min(observed.consecutive_failures - failures_to_suspend, 4);
        const auto span = initial_suspension * (1 << doublings);
        observed.suspended_until = now + std::min<duration>(span, max_suspension);
    }
}

void load_model::end_attempt(attempt_number attempt, attempt_result result, monotonic_time now)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto& entry = found->second;
    auto& state = this->endpoints[entry.endpoint];
    state.own -= {1, entry.has_first_byte ? 0 : entry.work.uncached_prompt, entry.work.memory};
    state.awaiting_first_byte.erase({entry.began_at + entry.predicted, attempt});
    update_failures(state.observed, result, now);
    this->attempts.erase(found);
}

void load_model::record_report(const endpoint_id& endpoint, const reported_load& load,
                               monotonic_time now)
{
    auto& observed = this->endpoints[endpoint].observed;
    observed.reported_slowdown = std::clamp(load.slowdown, min_slowdown, max_slowdown);
    observed.reported_at = now;
}

void load_model::set_peer_work(const node_id& node, std::map<endpoint_id, endpoint_work> work)
{
    auto& current = this->peers[node];
    for (const auto& [endpoint, before] : current) {
        auto& sum = this->peer_sums[endpoint];
        sum -= before;
        if (sum == endpoint_work{}) {
            this->peer_sums.erase(endpoint);
        }
    }
    for (const auto& [endpoint, reported] : work) {
        this->peer_sums[endpoint] += reported;
    }
    current = std::move(work);
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

void load_model::set_remote_work(std::uint64_t from, std::uint64_t to, const compact_work& work)
{
    std::erase_if(this->remote_work, [&](const auto& entry) {
        return entry.first >= from && static_cast<std::uint64_t>(entry.first) < to;
    });
    this->remote_work.insert(work.begin(), work.end());
}

void load_model::forget_peer(const node_id& node)
{
    if (this->peers.contains(node)) {
        this->set_peer_work(node, {});
        this->peers.erase(node);
        this->pace_of_endpoints.forget_peer(node);
    }
}

void load_model::forget(const endpoint_id& endpoint)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return;
    }
    found->second.observed = {};
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
    if (const auto reported = this->peer_sums.find(endpoint); reported != this->peer_sums.end()) {
        sum += reported->second;
    }
    if (!this->remote_work.empty()) {
        const auto reported = this->remote_work.find(key_of(endpoint));
        if (reported != this->remote_work.end()) {
            sum += reported->second;
        }
    }
    return sum;
}

double load_model::slowdown(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return 1.0;
    }
    const auto& observed = found->second.observed;
    const double decayed =
        1.0 + (observed.observed_slowdown - 1.0) * decay_factor(observed.observed_at, now);
    const bool is_recent = now - observed.reported_at < report_lifetime;
    return is_recent ? std::max(decayed, observed.reported_slowdown) : decayed;
}

double load_model::reported_slowdown(const behaviour& observed, monotonic_time now)
{
    return now - observed.reported_at < report_lifetime ? observed.reported_slowdown : 1.0;
}

double load_model::shared_slowdown(const endpoint_id& endpoint, monotonic_time now) const
{
    const double pace = this->pace_of_endpoints.pace(endpoint, now);
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? pace
                                          : pace * reported_slowdown(found->second.observed, now);
}

double load_model::failure_share(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return 0.0;
    }
    const auto& observed = found->second.observed;
    return observed.failure_share * decay_factor(observed.failure_share_at, now);
}

bool load_model::is_suspended(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end()) {
        return false;
    }
    const auto& until = found->second.observed.suspended_until;
    return until && now < *until;
}

duration load_model::overdue_time(const endpoint_id& endpoint, monotonic_time now) const
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || found->second.awaiting_first_byte.empty()) {
        return {};
    }
    return std::max(duration{}, now - found->second.awaiting_first_byte.begin()->first);
}

} // namespace eelgrassbend
