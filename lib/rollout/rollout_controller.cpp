#include "eelgrassbend/rollout/rollout_controller.h"

#include "rollout_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds tick_interval{100};
/// Time in which all nodes send their totals to a new holder. Until then sums rise without new
/// requests, and would give a much too high rate.
static constexpr milliseconds report_time{700};
/// Shortest time over which the request rate is measured.
static constexpr milliseconds min_rate_time{400};
/// Lengths of the windows of recent observations; the longest bounds the history.
static constexpr milliseconds short_window{1500};
static constexpr seconds long_window{4};
/// Fewest endpoints for the canary share: one of them may be slow or lost.
static constexpr std::size_t min_canary_endpoints = 3;

rollout_controller::rollout_controller(const rollout_dependencies& dependencies,
                                       rollout_bounds bounds)
    : dependencies(dependencies), bounds(bounds), timer(dependencies.time, tick_interval)
{
}

void rollout_controller::start()
{
    this->timer.start([this] { this->tick(); });
}

void rollout_controller::tick()
{
    const auto now = this->dependencies.time.now();
    const auto held = this->dependencies.lease.token();
    const auto& rollouts = this->dependencies.table.rollouts();
    if (held != this->token) {
        // Another holder may have written records in the meantime.
        this->token = held;
        this->has_records = false;
        this->runs.clear();
    }
    if (!held || (rollouts.empty() && this->runs.empty())) {
        return;
    }
    if (!this->has_records) {
        if (!this->is_call_in_flight) {
            this->end.reset();
            this->records.clear();
            this->read_records({});
        }
        return;
    }
    for (const auto& [service, rollout] : rollouts) {
        if (rollout.is_from_grant) {
            continue; // its length is unknown
        }
        auto found = this->runs.find(service);
        if (found == this->runs.end() || found->second.recorded.order != rollout.order.id) {
            found = this->runs.insert_or_assign(service, this->begin_run(rollout, now)).first;
        }
        this->update_run(rollout, found->second, now);
    }
    for (const auto& [service, run] : this->runs) {
        if (!rollouts.contains(service) && !this->is_call_in_flight) {
            this->delete_record(service);
            return; // the answer changes `runs`
        }
    }
}

void rollout_controller::read_records(const std::string& after)
{
    this->is_call_in_flight = true;
    this->dependencies.store.read_newest(topic(), after,
                                         this->scope.guard([this](const result<newest_page>& page) {
                                             this->is_call_in_flight = false;
                                             this->handle_page(page);
                                         }));
}

// A record written between two pages makes the next append fail, and the records are read again.
void rollout_controller::handle_page(const result<newest_page>& page)
{
    if (!page) {
        this->dependencies.log.write(log_level::warning, "rollout_read_failed",
                                     {{"error", page.error().to_string()}});
        return;
    }
    this->end = this->end.value_or(page.value().end);
    for (const auto& record : page.value().records) {
        auto state = decode_rollout_record(record.key, record.value.value_or(std::string{}));
        if (!state) {
            this->dependencies.log.write(log_level::error, "rollout_record_invalid",
                                         {{"key", record.key}});
            continue;
        }
        this->records.insert_or_assign(state->service, std::move(*state));
    }
    if (page.value().has_more && !page.value().records.empty()) {
        this->read_records(page.value().records.back().key);
        return;
    }
    this->has_records = true;
}

rollout_controller::run_state rollout_controller::begin_run(const known_rollout& rollout,
                                                            monotonic_time now)
{
    const auto& order = rollout.order;
    this->dependencies.evidence.retain(order.service, order.id);
    run_state run;
    run.granted_at = now;
    run.observed_from = now + report_time;
    const auto found = this->records.find(order.service);
    if (found != this->records.end() && found->second.order == order.id) {
        run.recorded = found->second;
        run.has_record = true;
        return run;
    }
    // An order that was withdrawn and given again has the same id.
    this->dependencies.evidence.retain(order.service, {});
    auto unproven = this->dependencies.table.unproven(order.service);
    run.recorded.service = order.service;
    run.recorded.target = order.target;
    run.recorded.order = order.id;
    if (found != this->records.end()) {
        unproven.insert(found->second.unproven.begin(), found->second.unproven.end());
        if (found->second.phase != rollout_phase::complete) {
            unproven.insert(found->second.target);
        }
        run.recorded.step = found->second.step;
    }
    unproven.erase(order.target);
    run.recorded.unproven.assign(unproven.begin(), unproven.end());
    run.next = run.recorded;
    ++run.next->step;
    return run;
}

void rollout_controller::update_run(const known_rollout& rollout, run_state& run,
                                    monotonic_time now)
{
    if (run.has_record) {
        auto confirmed = run.recorded;
        confirmed.age = {};
        // A record's time is that of its writing; the order is at least as old.
        confirmed.elapsed = std::max(run.recorded.elapsed, now - rollout.ordered_at);
        this->dependencies.table.apply_grant(confirmed, now);
    }
    if (run.has_record && (!run.next || run.next->phase != rollout_phase::rolled_back)) {
        this->decide(rollout, run, now);
    }
    if (run.next && !this->is_call_in_flight) {
        this->write_record(rollout, run);
    }
    if (run.has_record && run.reported != run.recorded.phase && !this->is_status_in_flight) {
        this->write_status(rollout, run);
    }
}

void rollout_controller::update_failures(run_state& run, const rollout_totals& totals,
                                         monotonic_time now)
{
    const auto failures = [](const rollout_totals& observed) {
        return sum_of_routes(observed).target.failures;
    };
    if (run.failing_since && now - run.failed_at > long_window) {
        run.failing_since.reset();
    }
    if (!run.history.empty() && failures(totals) > failures(run.history.back().second)) {
        run.failing_since = run.failing_since.value_or(now);
        run.failed_at = now;
    }
}

void rollout_controller::decide(const known_rollout& rollout, run_state& run, monotonic_time now)
{
    if (is_final(run.recorded.phase)) {
        return;
    }
    rollout_decision decided{run.recorded.phase, run.recorded.share, {}};
    if (rollout.grant && rollout.grant->phase == rollout_phase::rolled_back) {
        // The holder before this one rolled back and could not record it.
        decided = {rollout_phase::rolled_back, 0.0, "rolled back by an earlier holder"};
    }
    else if (now >= run.observed_from) {
        auto totals = this->dependencies.evidence.totals(rollout.order.service, rollout.order.id);
        for (const auto& [route, own] : rollout.totals) {
            totals[route].target += own.target;
            totals[route].base += own.base;
        }
        update_failures(run, totals, now);
        run.history.emplace_back(now, std::move(totals));
        while (now - run.history.front().first > long_window) {
            run.history.pop_front();
        }
        if (now - run.history.front().first >= min_rate_time) {
            decided = plan_rollout(this->make_input(rollout, run, now));
        }
    }
    if (decided.phase != rollout_phase::rolled_back && this->is_call_in_flight) {
        return; // the step under way is decided anew unless it is recorded
    }
    const auto last_step =
        std::max(run.next.value_or(run.recorded).step, rollout.grant ? rollout.grant->step : 0);
    run.next.reset();
    if (decided.phase == run.recorded.phase && decided.share == run.recorded.share) {
        return;
    }
    run.reason = decided.reason;
    run.next = run.recorded;
    run.next->phase = decided.phase;
    run.next->share = decided.share;
    run.next->max_endpoints =
        decided.phase == rollout_phase::canary ? this->canary_endpoints(rollout, decided.share) : 0;
    run.next->step = last_step + 1;
    if (decided.phase == rollout_phase::rolled_back) {
        run.next->elapsed = now - rollout.ordered_at;
        this->dependencies.table.apply_grant(*run.next, now);
    }
}

static rollout_totals difference(const rollout_totals& later, const rollout_totals& earlier)
{
    rollout_totals window;
    for (const auto& [route, totals] : later) {
        const auto found = earlier.find(route);
        const auto before = found != earlier.end() ? found->second : route_totals{};
        window[route] = {totals.target.since(before.target), totals.base.since(before.base)};
    }
    return window;
}

rollout_input rollout_controller::make_input(const known_rollout& rollout, const run_state& run,
                                             monotonic_time now) const
{
    rollout_input input;
    input.bounds = this->bounds;
    input.length = rollout.order.length;
    input.elapsed = now - rollout.ordered_at;
    input.phase = run.recorded.phase;
    input.share = run.recorded.share;
    input.since_grant = now - run.granted_at;
    input.totals = run.history.back().second;
    const auto short_start =
        std::find_if(run.history.begin(), run.history.end(),
                     [&](const auto& entry) { return now - entry.first <= short_window; });
    input.short_window = difference(input.totals, short_start->second);
    input.long_window = difference(input.totals, run.history.front().second);
    if (run.failing_since) {
        input.failing_for = run.failed_at - *run.failing_since;
    }
    const auto sum = sum_of_routes(input.long_window);
    const std::chrono::duration<double> observed{now - run.history.front().first};
    input.request_rate =
        static_cast<double>(sum.target.requests + sum.base.requests) / observed.count();
    this->add_endpoints(rollout, input);
    return input;
}

void rollout_controller::add_endpoints(const known_rollout& rollout, rollout_input& input) const
{
    const auto now = this->dependencies.time.now();
    for (const auto* endpoint : this->dependencies.endpoints.usable(rollout.order.service, now)) {
        const bool is_target = endpoint->record.version == rollout.order.target;
        (is_target ? input.target_slots : input.base_slots) += std::max(1, endpoint->record.slots);
    }
    for (const auto& [id, endpoint] : this->dependencies.endpoints.all()) {
        if (endpoint.record.service == rollout.order.service &&
            endpoint.record.version != rollout.order.target) {
            input.base_running += std::max(0, this->dependencies.loads.total(id).requests);
        }
    }
}

std::size_t rollout_controller::canary_endpoints(const known_rollout& rollout, double share) const
{
    const auto usable =
        this->dependencies.endpoints.usable(rollout.order.service, this->dependencies.time.now());
    const auto base = std::count_if(usable.begin(), usable.end(), [&](const auto* endpoint) {
        return endpoint->record.version != rollout.order.target;
    });
    const auto even = static_cast<std::size_t>(std::ceil(share * static_cast<double>(base)));
    return std::max(even, min_canary_endpoints);
}

void rollout_controller::write_record(const known_rollout& rollout, const run_state& run)
{
    auto written = *run.next;
    written.elapsed = this->dependencies.time.now() - rollout.ordered_at;
    this->is_call_in_flight = true;
    this->dependencies.store.append(
        topic(), {{log_offset{}, written.service.value(), encode_rollout_record(written)}},
        this->end,
        this->scope.guard(
            [this, written, token = this->token](const result<append_answer>& answer) {
                this->is_call_in_flight = false;
                if (token == this->token) {
                    this->handle_recorded(written, answer);
                }
            }));
}

// An append without an answer may have taken effect; the next one then fails, and the records are
// read again.
void rollout_controller::handle_recorded(const rollout_grant& written,
                                         const result<append_answer>& answer)
{
    if (!answer || !answer.value().appended) {
        this->dependencies.log.write(
            log_level::warning, "rollout_append_failed",
            {{"service", written.service.value()},
             {"error", answer ? "another record was written first" : answer.error().to_string()}});
        if (answer) {
            this->has_records = false;
            this->runs.clear();
        }
        return;
    }
    this->end = answer.value().end;
    this->records.insert_or_assign(written.service, written);
    const auto found = this->runs.find(written.service);
    if (found == this->runs.end() || found->second.recorded.order != written.order) {
        return; // the order was replaced meanwhile
    }
    auto& run = found->second;
    run.recorded = written;
    run.has_record = true;
    if (run.next && run.next->step <= written.step) {
        run.next.reset();
    }
    run.granted_at = this->dependencies.time.now();
    this->log_step(run);
    // The lease may have expired while the record was written.
    const auto& rollouts = this->dependencies.table.rollouts();
    const auto rollout = rollouts.find(written.service);
    if (this->dependencies.lease.token() == this->token && rollout != rollouts.end()) {
        this->update_run(rollout->second, run, run.granted_at);
    }
}

// Without its record, the same order can be given again.
void rollout_controller::delete_record(const service_id& service)
{
    this->is_call_in_flight = true;
    this->dependencies.store.append(topic(), {{log_offset{}, service.value(), std::nullopt}},
                                    this->end,
                                    this->scope.guard([this, service, token = this->token](
                                                          const result<append_answer>& answer) {
                                        this->is_call_in_flight = false;
                                        if (token != this->token || !answer) {
                                            return; // repeated at the next tick
                                        }
                                        this->runs.erase(service);
                                        this->records.erase(service);
                                        this->end = answer.value().end;
                                        this->has_records = answer.value().appended;
                                    }));
}

void rollout_controller::write_status(const known_rollout& rollout, const run_state& run)
{
    const auto phase = run.recorded.phase;
    // The phases before the end are all reported as running.
    if (run.reported && !is_final(*run.reported) && !is_final(phase)) {
        return;
    }
    this->is_status_in_flight = true;
    this->dependencies.store.append(
        this->dependencies.protocol.status_topic(),
        {this->dependencies.protocol.status_record(rollout.order, phase)}, std::nullopt,
        this->scope.guard(
            [this, phase, order = rollout.order](const result<append_answer>& answer) {
                this->is_status_in_flight = false;
                if (!answer) {
                    this->dependencies.log.write(log_level::warning, "rollout_status_failed",
                                                 {{"service", order.service.value()},
                                                  {"error", answer.error().to_string()}});
                    return; // repeated at the next tick
                }
                const auto found = this->runs.find(order.service);
                if (found != this->runs.end() && found->second.recorded.order == order.id) {
                    found->second.reported = phase;
                }
            }));
}

void rollout_controller::log_step(const run_state& run)
{
    const auto& state = run.recorded;
    const bool is_rolled_back = state.phase == rollout_phase::rolled_back;
    const auto totals =
        run.history.empty() ? route_totals{} : sum_of_routes(run.history.back().second);
    this->dependencies.log.write(is_rolled_back ? log_level::warning : log_level::info,
                                 "rollout_step",
                                 {{"service", state.service.value()},
                                  {"target", state.target.value()},
                                  {"phase", phase_name(state.phase)},
                                  {"share", state.share},
                                  {"step", state.step},
                                  {"elapsed_ms", whole_milliseconds(state.elapsed)},
                                  {"reason", run.reason},
                                  {"target_requests", totals.target.requests},
                                  {"target_answers", totals.target.answers()},
                                  {"target_failures", totals.target.failures},
                                  {"base_requests", totals.base.requests},
                                  {"base_answers", totals.base.answers()},
                                  {"base_failures", totals.base.failures}});
    const metric_labels labels{{"service", state.service.value()},
                               {"target", state.target.value()}};
    this->dependencies.counters.set("eelgrassbend_rollout_share", labels, state.share);
    this->dependencies.counters.set("eelgrassbend_rollout_phase", labels,
                                    static_cast<double>(state.phase));
    if (is_rolled_back) {
        this->dependencies.counters.count(
            "eelgrassbend_rollbacks_total",
            {{"service", state.service.value()}, {"reason", run.reason}}, 1);
    }
}

} // namespace eelgrassbend
