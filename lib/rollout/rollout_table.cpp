#include "eelgrassbend/rollout/rollout_table.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Time for which a final grant is in each digest.
static constexpr std::chrono::seconds final_grant_repeat_time{10};

static rollout_phase phase_of(const known_rollout& rollout)
{
    return rollout.grant ? rollout.grant->phase : rollout_phase::waiting;
}

void rollout_table::mark_unproven(const known_rollout& rollout)
{
    if (phase_of(rollout) != rollout_phase::complete) {
        this->unproven_versions[rollout.order.service].insert(rollout.order.target);
    }
}

bool rollout_table::put_order(const rollout_order& order, monotonic_time now)
{
    const auto found = this->known.find(order.service);
    if (found != this->known.end() && found->second.order.id == order.id) {
        found->second.order = order;
        return std::exchange(found->second.is_from_grant, false);
    }
    if (found != this->known.end()) {
        this->mark_unproven(found->second);
        this->known.erase(found);
    }
    if (const auto unproven = this->unproven_versions.find(order.service);
        unproven != this->unproven_versions.end()) {
        unproven->second.erase(order.target);
    }
    known_rollout added;
    added.order = order;
    added.ordered_at = now;
    this->known.emplace(order.service, std::move(added));
    return true;
}

void rollout_table::remove_order(const service_id& service)
{
    const auto found = this->known.find(service);
    if (found != this->known.end()) {
        this->mark_unproven(found->second);
        this->known.erase(found);
    }
}

// A grant for an order that this node has not read keeps it from sending requests to the target as
// to any other version.
void rollout_table::apply_grant(const rollout_grant& grant, monotonic_time now)
{
    auto found = this->known.find(grant.service);
    if (found == this->known.end()) {
        known_rollout added;
        added.order = {grant.service, grant.target, {}, grant.order};
        added.ordered_at = now;
        added.is_from_grant = true;
        found = this->known.emplace(grant.service, std::move(added)).first;
    }
    auto& rollout = found->second;
    if (rollout.order.id != grant.order) {
        return;
    }
    const auto confirmed_at = now - grant.age;
    rollout.ordered_at = std::min(rollout.ordered_at, now - grant.elapsed);
    if (rollout.grant && grant.step <= rollout.grant->step) {
        if (grant.step == rollout.grant->step) {
            rollout.confirmed_at = std::max(rollout.confirmed_at, confirmed_at);
        }
        return;
    }
    // A roll-back that a new holder does not know of yet remains in force.
    if (rollout.grant && rollout.grant->phase == rollout_phase::rolled_back) {
        return;
    }
    const bool is_new_phase = !rollout.grant || rollout.grant->phase != grant.phase;
    rollout.grant = grant;
    rollout.granted_at = now;
    rollout.confirmed_at = confirmed_at;
    this->has_new_grant = true;
    for (const auto& version : grant.unproven) {
        this->unproven_versions[grant.service].insert(version);
    }
    if (is_new_phase && this->handle_phase) {
        this->handle_phase(rollout);
    }
}

std::vector<rollout_grant> rollout_table::grants(monotonic_time now, bool with_settled) const
{
    std::vector<rollout_grant> relayed;
    for (const auto& [service, rollout] : this->known) {
        if (!rollout.grant) {
            continue;
        }
        const bool is_settled =
            is_final(rollout.grant->phase) && now - rollout.granted_at > final_grant_repeat_time;
        if (is_settled && !with_settled) {
            continue;
        }
        auto grant = *rollout.grant;
        grant.age = now - rollout.confirmed_at;
        grant.elapsed = now - rollout.ordered_at;
        if (is_final(grant.phase) || grant.age < this->grant_timeout) {
            relayed.push_back(std::move(grant));
        }
    }
    return relayed;
}

double rollout_table::current_share(const known_rollout& rollout, monotonic_time now) const
{
    if (!rollout.grant) {
        return 0.0;
    }
    const bool is_in_force =
        is_final(rollout.grant->phase) || now - rollout.confirmed_at < this->grant_timeout;
    return is_in_force ? rollout.grant->share : 0.0;
}

bool rollout_table::draw_target(const service_id& service, monotonic_time now) const
{
    const auto found = this->known.find(service);
    if (found == this->known.end()) {
        return false;
    }
    const double share = this->current_share(found->second, now);
    return share > 0.0 && random_unit(this->random) < share;
}

std::set<software_version> rollout_table::unproven(const service_id& service) const
{
    const auto found = this->unproven_versions.find(service);
    return found != this->unproven_versions.end() ? found->second : std::set<software_version>{};
}

version_filter rollout_table::filter(const service_id& service, bool wants_target,
                                     monotonic_time now) const
{
    version_filter permitted;
    if (const auto unproven = this->unproven_versions.find(service);
        unproven != this->unproven_versions.end()) {
        permitted.excluded.assign(unproven->second.begin(), unproven->second.end());
    }
    const auto found = this->known.find(service);
    if (found == this->known.end()) {
        return permitted;
    }
    const auto& rollout = found->second;
    const double share = this->current_share(rollout, now);
    if (share >= 1.0 || (wants_target && share > 0.0)) {
        permitted.only = rollout.order.target;
        permitted.max_endpoints =
            rollout.grant->phase == rollout_phase::canary ? rollout.grant->max_endpoints : 0;
        return permitted;
    }
    permitted.excluded.push_back(rollout.order.target);
    permitted.is_strict = phase_of(rollout) == rollout_phase::rolled_back;
    return permitted;
}

std::optional<rollout_attempt> rollout_table::begin_attempt(const known_endpoint& endpoint,
                                                            const std::string& route,
                                                            duration expected, monotonic_time now)
{
    const auto found = this->known.find(endpoint.record.service);
    if (found == this->known.end() || is_final(phase_of(found->second))) {
        return std::nullopt;
    }
    auto& rollout = found->second;
    rollout_attempt attempt;
    attempt.service = endpoint.record.service;
    attempt.order = rollout.order.id;
    attempt.route = route;
    attempt.is_target = endpoint.record.version == rollout.order.target;
    attempt.is_compared = attempt.is_target || this->current_share(rollout, now) > 0.0;
    attempt.is_cold = endpoint.record.cold_start_left > now - endpoint.received_at;
    attempt.expected = expected;
    attempt.began_at = now;
    ++this->totals_of(attempt)->requests;
    return attempt;
}

version_totals* rollout_table::totals_of(const rollout_attempt& attempt)
{
    const auto found = this->known.find(attempt.service);
    if (found == this->known.end() || found->second.order.id != attempt.order) {
        return nullptr;
    }
    auto& totals = found->second.totals[attempt.route];
    return attempt.is_target ? &totals.target : &totals.base;
}

void rollout_table::record_answer(const rollout_attempt& attempt, monotonic_time now)
{
    auto* totals = attempt.is_compared ? this->totals_of(attempt) : nullptr;
    if (totals != nullptr) {
        const std::chrono::duration<double> taken{now - attempt.began_at};
        const std::chrono::duration<double> expected{
            std::max<duration>(attempt.expected, std::chrono::milliseconds{1})};
        const auto bucket = slowness_bucket(taken / expected);
        ++totals->slowness[attempt.is_cold ? std::min(bucket, normal_slowness) : bucket];
    }
}

void rollout_table::record_failure(const rollout_attempt& attempt)
{
    auto* totals = attempt.is_compared ? this->totals_of(attempt) : nullptr;
    if (totals != nullptr) {
        ++totals->failures;
    }
}

void rollout_table::record_cancelled(const rollout_attempt& attempt, monotonic_time now)
{
    if (now - attempt.began_at > attempt.expected) {
        this->record_answer(attempt, now);
    }
}

std::vector<rollout_observations> rollout_table::observations() const
{
    std::vector<rollout_observations> own;
    for (const auto& [service, rollout] : this->known) {
        if (!is_final(phase_of(rollout)) && !rollout.totals.empty()) {
            own.push_back({service, rollout.order.id, rollout.totals});
        }
    }
    return own;
}

} // namespace eelgrassbend
