#include "eelgrassbend/serving/request_flow.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/routing/limiter.h"
#include "eelgrassbend/serving/hedge_attempt.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace eelgrassbend {

static double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

static std::int64_t microseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

money compute_price(const tariff& prices, token_count prompt, token_count output)
{
    constexpr std::int64_t thousand = 1000;
    const auto tokens = prices.per_thousand_prompt_tokens.value() * prompt.value() +
                        prices.per_thousand_output_tokens.value() * output.value();
    return prices.per_request + money{tokens / thousand};
}

request_flow::request_flow(const serving_services& services, admitted_request admitted,
                           ended_handler on_ended)
    : services(services),
      admitted(std::move(admitted)),
      accepted_at(services.time.now()),
      accepted_wall_time(services.time.wall_now()),
      on_ended(std::move(on_ended)),
      next_pause(services.settings.retry_pause)
{
}

request_flow::~request_flow() = default;

void request_flow::arm_deadline()
{
    std::weak_ptr<request_flow> weak = this->weak_from_this();
    const auto span = this->admitted.service->request_deadline;
    this->deadline_timer = this->services.time.call_after(span, [weak] {
        if (const auto self = weak.lock()) {
            self->handle_deadline();
        }
    });
}

void request_flow::start_attempt()
{
    if (!this->open) {
        return;
    }
    if (!this->runs.may_start_run(this->is_repeatable())) {
        this->refuse_request(make_error(errc::outcome_unknown, "start attempt",
                                        this->admitted.service->id.value(),
                                        "the request may have run"),
                             this->outcome_so_far());
        return;
    }
    auto query = this->make_route_request();
    query.excluded = this->excluded;
    auto chosen = this->services.routes.choose(query);
    if (!chosen) {
        this->handle_no_endpoint(chosen.error());
        return;
    }
    this->log_decision(chosen.value());
    this->dispatch(chosen.value(), query);
}

// A request that was never dispatched is refused at once, so that its caller can use another node;
// a started one is retried until its deadline.
void request_flow::handle_no_endpoint(const error& reason)
{
    if (!this->has_dispatched) {
        // A declared service without endpoints may get one, so this is not reported as not found.
        auto refusal = reason;
        if (refusal.code == errc::not_found) {
            refusal.code = make_error_code(errc::unavailable);
        }
        this->refuse_request(std::move(refusal), request_outcome::not_run,
                             this->services.routes.retry_after(this->admitted.service->id));
        return;
    }
    // After the delay, endpoints that failed before may be retried.
    this->excluded.clear();
    auto self = this->shared_from_this();
    this->retry_timer =
        this->services.time.call_after(this->next_pause, [self] { self->start_attempt(); });
    this->next_pause = std::min(2 * this->next_pause, this->services.settings.max_retry_pause);
}

void request_flow::log_decision(const route_decision& decision) const
{
    nlohmann::json candidates = nlohmann::json::array();
    constexpr std::size_t max_logged_candidates = 8;
    for (const auto& candidate : decision.candidates) {
        if (candidates.size() == max_logged_candidates) {
            break;
        }
        candidates.push_back({{"endpoint", candidate.endpoint.value()},
                              {"predicted_us", microseconds(candidate.predicted)},
                              {"cost_micros", candidate.cost.value()},
                              {"cached_tokens", candidate.cached_tokens},
                              {"note", candidate.rejection_reason}});
    }
    this->services.log.write(log_level::info, "route",
                             {{"request", this->admitted.id.value()},
                              {"attempt", this->attempts + 1},
                              {"organisation", this->admitted.organisation->id.value()},
                              {"service", this->admitted.service->id.value()},
                              {"endpoint", decision.endpoint.value()},
                              {"policy", decision.policy},
                              {"reason", decision.reason},
                              {"bundle", decision.version.value()},
                              {"candidates", std::move(candidates)},
                              {"candidate_count", decision.candidates.size()}});
}

void request_flow::dispatch(const route_decision& decision, const route_request& query)
{
    const auto found = this->services.endpoints.find(decision.endpoint);
    if (!found) {
        this->handle_no_endpoint(make_error(errc::unavailable, "choose endpoint",
                                            decision.endpoint.value(), "endpoint is gone"));
        return;
    }
    if (auto allowed = this->check_dispatch_allowed(); !allowed) {
        this->refuse_request(allowed.error(), this->outcome_so_far());
        return;
    }
    this->target = *found;
    ++this->attempts;
    this->attempt = attempt_id{this->admitted.id.value() + "/" + std::to_string(this->attempts)};
    this->awaits_first_progress = true;
    this->services.routes.on_dispatched(this->attempt, this->target.id, query);
    auto request = this->make_attempt_request();
    request.attempt = this->attempt;
    request.progress_timeout = this->services.settings.progress_timeout;
    this->handle = this->services.client.dispatch(this->target.address, std::move(request), *this);
    this->has_dispatched = true;
    this->plan_hedge(query, decision);
    if (this->target.state == endpoint_state::leaving) {
        this->schedule_migration(this->target);
    }
}

void request_flow::on_completed()
{
    auto self = this->shared_from_this();
    if (auto whole = this->handle_answer_complete(); !whole) {
        this->handle_attempt_failure(whole.error(), dispatch_state::maybe_sent);
    }
}

void request_flow::on_failed(const error& reason, dispatch_state dispatched)
{
    auto self = this->shared_from_this();
    this->handle_attempt_failure(reason, dispatched);
}

void request_flow::cancel_attempt(attempt_end outcome)
{
    if (this->handle) {
        this->handle.reset();
        this->runs.record_possible_run();
        this->services.routes.on_ended(this->attempt, outcome);
    }
    if (this->migration_timer) {
        this->services.time.cancel(*this->migration_timer);
        this->migration_timer.reset();
    }
}

void request_flow::handle_attempt_failure(const error& reason, dispatch_state dispatched)
{
    const auto runs_before = this->runs;
    this->cancel_attempt(attempt_end::failed);
    if (dispatched == dispatch_state::not_sent) {
        this->runs = runs_before;
        this->handle_attempt_not_sent();
    }
    this->services.log.write(log_level::warning, "attempt_failed",
                             {{"request", this->admitted.id.value()},
                              {"attempt", this->attempt.value()},
                              {"endpoint", this->target.id.value()},
                              {"may_have_run", dispatched == dispatch_state::maybe_sent},
                              {"error", reason.to_string()}});
    this->services.counters.count("eelgrassbend_attempt_failures_total",
                                  {{"service", this->admitted.service->id.value()}}, 1);
    if (!this->runs.may_start_run(this->is_repeatable())) {
        this->refuse_request(reason, this->outcome_so_far());
        return;
    }
    this->excluded.push_back(this->target.id);
    if (this->hedge) {
        this->adopt_hedge();
        return;
    }
    this->start_attempt();
}

void request_flow::handle_endpoint_changed(const endpoint_info& changed)
{
    if (!this->handle || changed.id != this->target.id) {
        return;
    }
    if (changed.state == endpoint_state::leaving) {
        this->schedule_migration(changed);
    }
}

// A request may finish at a leaving endpoint. If it has not finished shortly before the host is
// reclaimed, it resumes at another endpoint after the tokens already emitted.
void request_flow::schedule_migration(const endpoint_info& leaving)
{
    if (!leaving.taken_at || !this->is_migratable() || this->migration_timer) {
        return;
    }
    const auto time_left = *leaving.taken_at - this->services.time.wall_now();
    const auto pause =
        std::max(time_left - this->services.settings.migration_margin, duration::zero());
    auto self = this->shared_from_this();
    this->migration_timer = this->services.time.call_after(pause, [self] {
        self->migration_timer.reset();
        self->migrate();
    });
}

void request_flow::migrate()
{
    if (!this->open || !this->handle) {
        return;
    }
    this->services.log.write(log_level::info, "move",
                             {{"request", this->admitted.id.value()},
                              {"attempt", this->attempt.value()},
                              {"endpoint", this->target.id.value()},
                              {"reason", "endpoint is leaving"}});
    this->drop_hedge(attempt_end::cancelled);
    this->cancel_attempt(attempt_end::cancelled);
    this->excluded.push_back(this->target.id);
    this->start_attempt();
}

request_outcome request_flow::outcome_so_far() const
{
    return this->may_have_run() ? request_outcome::unknown : request_outcome::not_run;
}

void request_flow::handle_deadline()
{
    if (!this->open || this->delivering) {
        return;
    }
    this->refuse_request(make_error(errc::timed_out, "serve request",
                                    this->admitted.service->id.value(),
                                    "the service's deadline has passed"),
                         this->outcome_so_far());
}

void request_flow::give_up(const refusal& refused)
{
    refuse(*this->admitted.answer, refused);
}

void request_flow::refuse_request(error reason, request_outcome outcome,
                                  std::optional<duration> retry_after)
{
    if (!this->open) {
        return;
    }
    auto self = this->shared_from_this();
    this->cancel_attempt(attempt_end::cancelled);
    refusal refused;
    refused.status = outcome == request_outcome::unknown && reason.code != errc::timed_out
                         ? 502
                         : http_status_for(reason);
    refused.outcome = outcome;
    refused.reason = std::move(reason);
    refused.retry_after = retry_after;
    this->services.log.write(log_level::info, "refuse",
                             {{"request", this->admitted.id.value()},
                              {"status", refused.status},
                              {"outcome", to_string(outcome)},
                              {"error", refused.reason.to_string()}});
    this->give_up(refused);
    this->close(to_string(outcome));
}

void request_flow::record_progress(token_count total)
{
    this->services.routes.on_progress(this->attempt, total);
    const bool first = std::exchange(this->awaits_first_progress, false);
    if (first) {
        this->drop_hedge(attempt_end::cancelled);
    }
    if (first && this->attempts == (this->has_hedge_started ? 2 : 1)) {
        const auto elapsed = this->services.time.now() - this->accepted_at;
        this->services.hedges.on_first_token(this->admitted.service->id,
                                             this->make_route_request().size, elapsed);
        this->services.counters.observe("eelgrassbend_first_token_seconds",
                                        {{"service", this->admitted.service->id.value()}},
                                        seconds(elapsed));
    }
}

void request_flow::continue_from(int used, wall_time accepted)
{
    this->attempts = used;
    this->accepted_wall_time = accepted;
    // The request was accepted by another flow and may have run there: it is retried until its
    // deadline and never refused as not run.
    this->has_dispatched = true;
    this->runs.record_possible_run();
}

ledger_line request_flow::make_ledger_line(token_count prompt, token_count output,
                                           std::string digest) const
{
    ledger_line line;
    line.request = this->admitted.id;
    line.attempt = this->attempt;
    line.organisation = this->admitted.organisation->id;
    line.service = this->admitted.service->id;
    line.endpoint = this->target.id;
    line.version = this->admitted.rules->version;
    line.prompt_tokens = prompt;
    line.output_tokens = output;
    line.price = compute_price(this->admitted.service->prices, prompt, output);
    line.answer_digest = std::move(digest);
    line.accepted_at = this->accepted_wall_time;
    return line;
}

void request_flow::record_and_deliver(ledger_line line,
                                      std::function<void(exchange::delivered_handler)> send)
{
    auto self = this->shared_from_this();
    this->delivering = true;
    this->drop_hedge(attempt_end::cancelled);
    this->handle.reset();
    this->runs.record_possible_run();
    this->services.routes.on_ended(this->attempt, attempt_end::completed);
    const auto price = line.price;
    this->services.usage_ledger.intend(
        line, [self, price, send = std::move(send)](result<void> recorded) {
            if (!self->open) {
                self->services.usage_ledger.cancel(self->admitted.id);
                return;
            }
            if (!recorded) {
                self->services.log.write(log_level::warning, "unbilled",
                                         {{"request", self->admitted.id.value()},
                                          {"error", recorded.error().to_string()}});
            }
            const bool billable = recorded.has_value();
            send([self, billable, price](result<void> delivered) {
                if (billable && delivered) {
                    self->billed = price;
                    self->services.usage_ledger.confirm(self->admitted.id);
                }
                else if (billable) {
                    self->services.usage_ledger.cancel(self->admitted.id);
                }
                if (!delivered && self->open) {
                    self->handle_undelivered();
                }
                self->close(delivered ? "ran" : "undelivered");
            });
        });
}

void request_flow::close(const char* outcome)
{
    if (!std::exchange(this->open, false)) {
        return;
    }
    auto self = this->shared_from_this();
    this->drop_hedge(attempt_end::cancelled);
    this->cancel_attempt(attempt_end::cancelled);
    for (auto* timer : {&this->deadline_timer, &this->retry_timer, &this->hedge_timer}) {
        if (*timer) {
            this->services.time.cancel(**timer);
            timer->reset();
        }
    }
    this->handle_closing();
    this->services.limits.release(this->admitted.id, this->billed);
    const auto elapsed = this->services.time.now() - this->accepted_at;
    this->services.log.write(log_level::info, "request",
                             {{"request", this->admitted.id.value()},
                              {"organisation", this->admitted.organisation->id.value()},
                              {"service", this->admitted.service->id.value()},
                              {"result", outcome},
                              {"attempts", this->attempts},
                              {"took_us", microseconds(elapsed)},
                              {"price_micros", this->billed.value()}});
    const metric_labels labels{{"service", this->admitted.service->id.value()},
                               {"result", outcome}};
    this->services.counters.count("eelgrassbend_requests_total", labels, 1);
    this->services.counters.observe("eelgrassbend_request_seconds", labels, seconds(elapsed));
    this->on_ended(this->admitted.id);
}

} // namespace eelgrassbend
