#include "eelgrassbend/routing/service_router.h"

#include "eelgrassbend/routing/prediction.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

namespace {

/// The age of a report is limited to [0, max_report_age], also if its time is in the future.
constexpr duration max_report_age = std::chrono::seconds{10};
/// Slot waits are predicted poorly, so the deadline adds the predicted wait this many times again.
constexpr int slot_wait_slack = 2;
/// A peer that has sent no digest for this long is taken to have no in-flight attempts.
constexpr duration max_peer_silence = std::chrono::seconds{5};
/// A first token is overdue after 1.5 times the predicted time plus this allowance.
constexpr duration first_token_allowance = std::chrono::milliseconds{250};
/// A next token is overdue after this multiple of the expected time between tokens.
constexpr int overdue_tokens = 4;

} // namespace

service_router::service_router(const clock_source& clock, random_source& random,
                               endpoint_directory& endpoints, const bundle_view& bundles)
    : clock(clock), random(random), endpoints(endpoints), bundles(bundles)
{
    endpoints.on_change([this](const endpoint_info& info) { this->on_endpoint_changed(info); });
}

result<route_decision> service_router::choose(const route_request& request)
{
    this->refresh_bundle();
    auto* state = this->find_service(request.service);
    if (state == nullptr || state->table.empty()) {
        return make_error(errc::not_found, "choose endpoint", request.service.value(),
                          "the service has no endpoint");
    }
    auto decision = state->policy->choose(state->table, request);
    if (decision) {
        decision.value().version = this->current_bundle->version;
    }
    return decision;
}

void service_router::on_dispatched(const attempt_id& attempt, const endpoint_id& endpoint,
                                   const route_request& request)
{
    auto* state = this->ensure_service_of(endpoint);
    const auto index = state == nullptr ? std::nullopt : state->table.find(endpoint);
    if (!index) {
        return;
    }
    const auto now = this->clock.now();
    auto& record = state->table.at(*index);
    const auto held = state->table.prefixes().held_blocks(*index, request.prefix);
    const auto expected = predict(state->table, *index, request);

    outstanding_attempt started;
    started.service = state;
    started.endpoint = *index;
    started.size = request.size;
    started.expected_blocks.assign(request.prefix.begin(),
                                   request.prefix.begin() + static_cast<std::ptrdiff_t>(held));
    started.uncached = request.prompt_tokens.value() - expected.cached_tokens;
    started.prompt_work = expected.prompt_work;
    started.had_free_slot = expected.slot_wait == duration::zero();
    started.predicted = expected.first_token;
    started.sent = now;
    started.last_progress = now;
    started.due = now + expected.first_token + expected.first_token / 2 +
                  expected.slot_wait * slot_wait_slack + first_token_allowance;
    record.progress.add_deadline(started.due);
    record.load.add_attempt(now, request.size, started.uncached);
    state->table.update_load(*index);
    state->table.prefixes().add_expected_blocks(*index, request.prefix, request.prefix.size());
    this->attempts.insert_or_assign(attempt, std::move(started));
}

void service_router::on_progress(const attempt_id& attempt, token_count total)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end() || total.value() <= found->second.tokens) {
        return;
    }
    auto& known = found->second;
    const auto now = this->clock.now();
    auto& table = known.service->table;
    auto& record = table.at(known.endpoint);
    record.progress.remove_deadline(known.due);
    if (known.tokens == 0) {
        this->record_first_token(known, now);
    }
    else {
        this->record_next_tokens(known, now, total.value());
    }
    known.tokens = total.value();
    known.last_progress = now;
    record.last_token = now;
    known.due = now + table.expected_token_time(record) * overdue_tokens;
    record.progress.add_deadline(known.due);
    table.update_suspicion(known.endpoint, now);
}

void service_router::on_usage(const attempt_id& attempt, token_count /*prompt*/, token_count cached)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto blocks = static_cast<std::size_t>(cached.value() / prefix_block_tokens);
    auto& known = found->second;
    known.service->table.prefixes().update_confidence(known.endpoint, known.expected_blocks,
                                                      blocks);
}

void service_router::on_ended(const attempt_id& attempt, attempt_end outcome)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto now = this->clock.now();
    auto& known = found->second;
    auto& table = known.service->table;
    auto& record = table.at(known.endpoint);
    record.progress.remove_deadline(known.due);
    if (known.tokens == 0) {
        record.load.remove_pending_prompt(known.uncached);
    }
    record.load.remove_attempt(now, known.size);
    if (outcome == attempt_end::completed) {
        table.add_hold_time_sample(now - known.sent);
    }
    table.update_load(known.endpoint);
    if (record.info.state == endpoint_state::gone) {
        table.update(endpoint_info{record.info});
    }
    this->attempts.erase(found);
}

void service_router::report_load(const endpoint_id& endpoint, const load_report& report)
{
    auto* state = this->ensure_service_of(endpoint);
    const auto index = state == nullptr ? std::nullopt : state->table.find(endpoint);
    if (!index) {
        return;
    }
    this->expire_peers();
    const duration age = std::clamp(duration{this->clock.wall_now() - report.measured_at},
                                    duration::zero(), max_report_age);
    state->table.at(*index).load.apply_report(this->clock.now(), age, report);
    state->table.update_reported_latency(*index, report, this->clock.now());
    state->table.update_load(*index);
}

void service_router::report_cache(const endpoint_id& endpoint, const cache_event& event)
{
    auto* state = this->ensure_service_of(endpoint);
    const auto index = state == nullptr ? std::nullopt : state->table.find(endpoint);
    if (index) {
        state->table.prefixes().apply(*index, event);
    }
}

bool service_router::is_suspected(const endpoint_id& endpoint) const
{
    auto* state = this->find_service_of(endpoint);
    const auto index = state == nullptr ? std::nullopt : state->table.find(endpoint);
    return index && state->table.update_suspicion(*index, this->clock.now());
}

duration service_router::retry_after(const service_id& service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return router::retry_after(service);
    }
    return found->second->table.slot_release_time();
}

load_digest service_router::make_digest(const node_id& self) const
{
    load_digest content;
    content.from = self;
    for (const auto& [service, state] : this->services) {
        for (const auto index : state->table.live_endpoints()) {
            const auto& record = state->table.at(index);
            if (record.load.own_attempts() > 0 || record.is_locally_suspected) {
                content.endpoints.push_back({record.info.id, record.load.own_attempts(),
                                             record.load.own_pending_tokens(),
                                             record.is_locally_suspected});
            }
        }
    }
    return content;
}

void service_router::apply_digest(const load_digest& digest)
{
    this->expire_peers();
    this->remove_peer(digest.from);
    auto& peer = this->peers[digest.from];
    peer.last_digest_time = this->clock.now();
    for (const auto& usage : digest.endpoints) {
        this->set_peer_usage(digest.from, usage);
        peer.endpoints.push_back(usage.endpoint);
    }
}

void service_router::remove_peer(const node_id& peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return;
    }
    for (const auto& endpoint : found->second.endpoints) {
        this->set_peer_usage(peer, {endpoint});
    }
    this->peers.erase(found);
}

void service_router::set_peer_usage(const node_id& peer, const endpoint_usage& usage)
{
    auto* state = this->ensure_service_of(usage.endpoint);
    const auto index = state == nullptr ? std::nullopt : state->table.find(usage.endpoint);
    if (!index) {
        return;
    }
    state->table.at(*index).load.set_peer_usage(this->clock.now(), peer, usage);
    state->table.update_load(*index);
}

void service_router::expire_peers()
{
    std::vector<node_id> silent;
    for (const auto& [peer, usage] : this->peers) {
        if (this->clock.now() - usage.last_digest_time > max_peer_silence) {
            silent.push_back(peer);
        }
    }
    for (const auto& peer : silent) {
        this->remove_peer(peer);
    }
}

service_router::service_state* service_router::find_service(const service_id& service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        return found->second.get();
    }
    // Service names come from callers, so only services with endpoints get a table.
    const auto known = this->endpoints.endpoints(service);
    if (known.empty()) {
        return nullptr;
    }
    this->refresh_bundle();
    auto& state = this->services[service];
    state = std::make_unique<service_state>(service);
    this->configure(*state);
    for (const auto& info : known) {
        state->table.update(info);
        this->service_by_endpoint.insert_or_assign(info.id, service);
    }
    return state.get();
}

void service_router::refresh_bundle()
{
    auto current = this->bundles.current();
    if (current == this->current_bundle) {
        return;
    }
    this->current_bundle = std::move(current);
    for (auto& [service, state] : this->services) {
        this->configure(*state);
    }
}

void service_router::configure(service_state& state)
{
    state.table.configure(*this->current_bundle);
    const auto& policy_name = state.table.spec().routing_policy;
    if (state.policy == nullptr || state.policy->name() != policy_name) {
        state.policy = make_policy(policy_name, this->clock, this->random);
    }
}

void service_router::on_endpoint_changed(const endpoint_info& info)
{
    const auto found = this->services.find(info.service);
    if (found == this->services.end()) {
        return;
    }
    found->second->table.update(info);
    if (info.state == endpoint_state::gone) {
        this->service_by_endpoint.erase(info.id);
        return;
    }
    this->service_by_endpoint.insert_or_assign(info.id, info.service);
}

service_router::service_state* service_router::find_service_of(const endpoint_id& endpoint) const
{
    const auto service = this->service_by_endpoint.find(endpoint);
    if (service == this->service_by_endpoint.end()) {
        return nullptr;
    }
    const auto found = this->services.find(service->second);
    return found == this->services.end() ? nullptr : found->second.get();
}

service_router::service_state* service_router::ensure_service_of(const endpoint_id& endpoint)
{
    auto* known = this->find_service_of(endpoint);
    if (known != nullptr) {
        return known;
    }
    const auto info = this->endpoints.find(endpoint);
    return info ? this->find_service(info->service) : nullptr;
}

void service_router::record_first_token(outstanding_attempt& attempt, monotonic_time now)
{
    auto& table = attempt.service->table;
    auto& record = table.at(attempt.endpoint);
    record.load.remove_pending_prompt(attempt.uncached);
    record.latency.add_lateness_sample(now - attempt.sent - attempt.predicted);
    // The time includes a wait for a slot if none was free, so it does not show the prompt speed.
    if (!attempt.had_free_slot) {
        return;
    }
    record.latency.add_prompt_sample(now - attempt.sent, attempt.prompt_work);
    if (!record.is_suspected) {
        table.class_latency(record.info.type)
            .add_prompt_sample(now - attempt.sent, attempt.prompt_work);
    }
}

void service_router::record_next_tokens(outstanding_attempt& attempt, monotonic_time now,
                                        std::int64_t total)
{
    auto& table = attempt.service->table;
    auto& record = table.at(attempt.endpoint);
    const duration gap = (now - attempt.last_progress) / (total - attempt.tokens);
    record.latency.add_token_sample(gap);
    if (!record.is_suspected) {
        table.class_latency(record.info.type).add_token_sample(gap);
    }
}

} // namespace eelgrassbend
