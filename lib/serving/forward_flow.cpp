#include "eelgrassbend/serving/forward_flow.h"

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/placement/engine_cost_estimator.h"
#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/streams/stream_origins.h"

#include "forward_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// A request with less time left is not sent.
static constexpr std::chrono::milliseconds min_time_left{5};
/// Time limit of a request if neither the caller nor the route sets one.
static constexpr std::chrono::seconds max_request_time{60};
/// Last-event id of a stream of which the caller has received no event.
static constexpr const char* before_first_event = "0";
/// Least urgent rank that engines accept.
static constexpr int max_urgency_rank = 9;
/// Ranks per priority: within a priority, requests with a short objective rank before those with a
/// long one.
static constexpr int ranks_per_priority = 2;
/// Requests with an objective above this rank after shorter ones of their priority.
static constexpr std::chrono::milliseconds short_objective_limit{800};
/// Attempts of one request that may be lost without a confirmed answer; the request itself may be
/// the cause.
static constexpr int max_attempts_lost_unconfirmed = 2;

forward_flow::forward_flow(const forward_services& services, forwarded_request request,
                           ended_handler on_ended)
    : services(services),
      request(std::move(request)),
      on_ended(std::move(on_ended)),
      buffer_reservation(services.answer_memory)
{
    this->last_event = this->request.fields.last_event;
}

forward_flow::~forward_flow()
{
    this->cancel_timer(this->deadline_timer);
    this->cancel_timer(this->placement_timer);
    this->cancel_timer(this->first_byte_timer);
    this->cancel_timer(this->stall_timer);
    this->cancel_timer(this->migration_timer);
}

void forward_flow::begin()
{
    std::weak_ptr<forward_flow> weak = this->weak_from_this();
    this->request.answer->on_caller_disconnected([weak] {
        if (const auto self = weak.lock()) {
            self->handle_caller_disconnected();
        }
    });
    this->run_after(this->deadline() - this->services.time.now(), &forward_flow::deadline_timer,
                    &forward_flow::handle_deadline);
    if (this->is_subject_to_admission()) {
        this->services.admission.record_arrival(this->make_admission_request(),
                                                this->services.time.now());
    }
    this->wants_target =
        this->services.rollouts != nullptr &&
        this->services.rollouts->draw_target(this->request.target, this->services.time.now());
    if (this->resumes_stream()) {
        this->find_origin();
        return;
    }
    this->choose_endpoint();
}

bool forward_flow::is_stream() const
{
    return this->request.matched_route->kind == request_kind::stream;
}

monotonic_time deadline_of(const forwarded_request& request)
{
    auto span = duration{max_request_time};
    if (request.matched_route->timeout > duration::zero()) {
        span = std::min(span, request.matched_route->timeout);
    }
    if (request.fields.time_left) {
        span = std::min(span, *request.fields.time_left);
    }
    return request.received_at + span;
}

placement_request forward_flow::make_placement_request() const
{
    const auto& fields = this->request.fields;
    placement_request query;
    query.service = this->request.target;
    query.parts = fields.parts;
    query.prompt_tokens = fields.prompt_tokens;
    query.output_tokens = std::min(fields.expected_output.value_or(fields.max_output_tokens),
                                   fields.max_output_tokens);
    query.max_wait = this->max_prompt_wait();
    query.shares_load = this->request.table->has_slot_bound_service();
    query.excluded = this->excluded;
    if (this->is_subject_to_admission()) {
        query.max_slot_share =
            this->services.admission
                .decide(this->make_admission_request(), this->services.time.now())
                .slot_share;
    }
    if (this->services.rollouts != nullptr) {
        query.versions = this->services.rollouts->filter(this->request.target, this->wants_target,
                                                         this->services.time.now());
    }
    query.versions.required = this->stream_version;
    if (this->is_resumable_stream() && !this->stream_version && !query.versions.only) {
        query.versions.only = this->services.origins.preferred_version(this->request.target);
    }
    return query;
}

// Engines process prompts in order of arrival, so a long queue also delays the requests with the
// shortest objective. Less urgent requests are limited to shorter queues, which reserves the
// remaining capacity for more urgent ones.
std::optional<duration> forward_flow::max_prompt_wait() const
{
    const auto objective = this->request.table->min_stream_objective(this->request.target);
    if (!objective || this->is_stream_started) {
        return std::nullopt;
    }
    const auto& settings = this->services.settings;
    const double part =
        settings.prompt_wait_fraction *
        std::pow(settings.prompt_wait_fraction_per_priority, this->request.priority);
    return part_of(part, *objective);
}

std::optional<engine_traits> forward_flow::engine() const
{
    return this->request.service != nullptr ? this->request.service->engine : std::nullopt;
}

// The parts of the prompt may have been quarantined since the request was admitted.
bool forward_flow::may_start_run() const
{
    return this->runs.may_start_run(this->request.matched_route->is_repeatable()) &&
           !(this->runs.may_have_run() &&
             this->services.quarantine.is_quarantined(this->request.shared_parts));
}

void forward_flow::choose_endpoint()
{
    if (!this->may_start_run()) {
        this->give_up(status_bad_gateway,
                      make_error(errc::outcome_unknown, "choose endpoint",
                                 this->request.target.value(), "the request may have run"));
        return;
    }
    const auto found = this->find_endpoint();
    this->count_demand(found);
    if (this->is_too_late(found)) {
        this->refuse_too_late();
        return;
    }
    if (found.chosen) {
        this->dispatch(*found.chosen);
        return;
    }
    this->wait_for_capacity(found);
}

void forward_flow::count_demand(const placement_answer& found)
{
    if (!this->engine() || std::exchange(this->is_demand_counted, true)) {
        return;
    }
    const auto uncached =
        found.chosen ? std::optional{found.chosen->work.uncached_prompt} : std::nullopt;
    const auto query = this->make_placement_request();
    const auto learned = this->engine()->is_slot_bound()
                             ? std::optional{this->services.costs.costs(query.service)}
                             : std::nullopt;
    this->services.demand.record_request(query.service, query.prompt_tokens, uncached,
                                         query.output_tokens, learned);
}

void forward_flow::dispatch(const placement& chosen)
{
    const auto* known = this->services.endpoints.find(chosen.endpoint);
    this->current_placement = chosen;
    this->endpoint_started = known != nullptr ? known->record.started : 0;
    if (known != nullptr && !this->continuation) {
        this->endpoint_version = known->record.version;
    }
    this->waiting_since.reset();
    this->answer.reset();
    this->answer_body.clear();
    this->buffer_reservation.clear();
    this->events.reset();
    this->answered_at.reset();
    this->is_new_run = !this->continuation && this->last_event.empty();
    const auto now = this->services.time.now();
    if (this->deadline() - now < min_time_left) {
        return; // the deadline timer is about to fire
    }
    if (this->is_body_released) {
        // Without its body it would be another request.
        this->give_up(status_bad_gateway,
                      make_error(errc::outcome_unknown, "send request", chosen.endpoint.value(),
                                 "the body is not kept any more"));
        return;
    }
    if (!this->continuation) {
        ++this->endpoints_tried;
    }
    this->record_admission();
    this->excluded.insert(chosen.endpoint);
    this->log_placement(chosen);
    this->attempt_began_at = now;
    this->first_event_at.reset();
    this->observe_attempt(known);
    this->attempt =
        this->services.loads.begin_attempt(chosen.endpoint, chosen.work, chosen.predicted, now);
    if (!this->request.fields.parts.empty()) {
        this->services.cache.record_use(chosen.endpoint, this->request.fields.parts, now);
    }
    this->handle =
        this->services.client.dispatch(chosen.address, this->make_attempt_request(chosen), *this);
    this->attempted.insert(chosen.endpoint);
    this->arm_first_byte_timer(chosen);
    this->record_origin();
}

endpoint_request forward_flow::make_attempt_request(const placement& chosen) const
{
    forward_attempt_fields attempt_fields;
    attempt_fields.endpoint = chosen.endpoint;
    attempt_fields.organisation = this->request.caller.value_or(organisation_id{});
    attempt_fields.time_left = this->deadline() - this->services.time.now();
    attempt_fields.last_event = this->last_event;
    if (this->continuation) {
        attempt_fields.kv_cache_source = this->continuation->kv_cache_source;
        if (this->last_event.empty()) {
            attempt_fields.last_event = before_first_event;
        }
    }
    if (this->engine()) {
        const bool is_long = this->request.matched_route->objective > short_objective_limit;
        attempt_fields.urgency = std::clamp(
            ranks_per_priority * this->request.priority + (is_long ? 1 : 0), 0, max_urgency_rank);
    }
    endpoint_request attempt_request;
    attempt_request.attempt = attempt_id{this->request.fields.id.value()};
    attempt_request.method = this->request.http.method;
    attempt_request.target = this->request.http.target;
    attempt_request.headers =
        this->services.protocol.endpoint_headers(this->request.http, attempt_fields);
    attempt_request.body = this->request.http.body;
    // A failure to connect then proves that the engine has not continued the run; and an old
    // connection may carry a repeat of the endpoint's earlier answer, which has the same id.
    attempt_request.needs_new_connection =
        this->continuation.has_value() || this->attempted.contains(chosen.endpoint);
    // No other engine is tried after the source, which may accept no new connections any more.
    attempt_request.falls_back_to_pooled =
        this->continuation && chosen.endpoint == this->continuation->source.endpoint;
    return attempt_request;
}

bool forward_flow::can_repeat_attempt() const
{
    return this->request.matched_route->is_repeatable() &&
           this->endpoints_tried < this->request.matched_route->max_endpoints &&
           this->attempts_lost_unconfirmed < max_attempts_lost_unconfirmed && !this->is_suspected &&
           !this->services.quarantine.is_quarantined(this->request.shared_parts);
}

void forward_flow::on_head(int status, const header_list& headers)
{
    const auto self = this->shared_from_this();
    this->cancel_timer(this->first_byte_timer);
    this->answer = this->services.protocol.parse_answer(status, headers);
    this->apply_endpoint_notices();
    if (this->answer->is_not_run) {
        this->handle_attempt_refused();
        return;
    }
    this->runs.record_possible_run();
    this->continuation.reset();
    this->release_body();
    this->handle_answer_started();
    if (const auto* defect = this->answer_head_defect()) {
        this->handle_attempt_failure(make_error(errc::mismatched, "read answer",
                                                this->current_placement.endpoint.value(),
                                                "status " + std::to_string(status) + " " + defect));
        return;
    }
    // A resumed run keeps the head of its first attempt; a restarted one takes the new head.
    if (this->is_stream() && this->answer->is_success()) {
        if (!this->stream_head || this->is_new_run) {
            this->stream_head = this->answer;
        }
        this->arm_stall_timer();
    }
}

void forward_flow::handle_answer_started()
{
    this->services.loads.record_first_byte(this->attempt, this->services.time.now());
    this->count_usage();
}

void forward_flow::count_usage()
{
    if (this->request.caller && !std::exchange(this->is_usage_counted, true)) {
        this->services.usage.record_start(*this->request.caller, this->services.time.wall_now());
    }
}

void forward_flow::on_body(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->is_stream() || !this->answer->is_success()) {
        this->buffer_answer(bytes);
        return;
    }
    this->forward_events(bytes);
}

// Forwards complete events only: an endpoint can fail within an event, and another endpoint resumes
// after the last complete one.
void forward_flow::forward_events(std::string_view bytes)
{
    auto complete_events = this->events.feed(bytes);
    if (!complete_events) {
        this->handle_attempt_failure(complete_events.error());
        return;
    }
    std::string forwarded;
    bool is_in_order = true;
    for (const auto& event : complete_events.value()) {
        auto id = sse_event_id(event);
        is_in_order = id.empty() || is_later_event(id, this->last_event);
        if (!is_in_order) {
            break;
        }
        forwarded += event;
        if (!id.empty()) {
            this->last_event = std::move(id);
        }
    }
    if (!forwarded.empty()) {
        this->learn_first_event();
        this->handle_answer_produced();
        this->start_stream();
        this->arm_stall_timer();
        this->request.answer->send(std::move(forwarded));
    }
    if (!is_in_order) {
        this->handle_attempt_failure(make_error(errc::mismatched, "read event stream",
                                                this->current_placement.endpoint.value(),
                                                "event does not follow the one before"));
    }
}

void forward_flow::start_stream()
{
    if (std::exchange(this->is_stream_started, true)) {
        return;
    }
    this->stream_version = this->endpoint_version;
    this->request.answer->start(this->stream_head->status, this->stream_head->headers);
    const std::chrono::duration<double> waited{this->services.time.now() -
                                               this->request.received_at};
    this->services.counters.observe("eelgrassbend_first_event_seconds",
                                    {{"route", this->request.matched_route->name}}, waited.count());
}

void forward_flow::on_completed()
{
    const auto self = this->shared_from_this();
    if (!this->is_stream() || !this->answer->is_success()) {
        this->deliver();
        return;
    }
    // An engine ends the stream of a stopped run without its end, which only framing shows.
    const auto* defect = this->stream_end_defect();
    const bool may_be_stopped = defect != nullptr || this->answer->is_close_delimited;
    if (may_be_stopped && this->handle_end_in_migration(defect == nullptr)) {
        return;
    }
    this->handle_answer_ended();
    if (defect != nullptr) {
        this->handle_attempt_lost(make_error(errc::truncated, "read event stream",
                                             this->current_placement.endpoint.value(), defect));
        return;
    }
    this->finish_stream();
}

void forward_flow::finish_stream()
{
    this->start_stream();
    this->learn_answer();
    this->end_attempt(attempt_result::succeeded);
    this->request.answer->finish({}, nullptr);
    this->close("answered");
}

// Retries a server error at another endpoint if the route and the retry budget allow it.
void forward_flow::deliver()
{
    constexpr int first_server_error = 500;
    if (this->is_stream_started) {
        this->handle_attempt_failure(make_error(errc::unavailable, "resume stream",
                                                this->current_placement.endpoint.value(),
                                                "status " + std::to_string(this->answer->status)));
        return;
    }
    const bool is_failure = this->answer->status >= first_server_error;
    if (this->answer->is_success()) {
        this->handle_answer_produced();
        this->handle_answer_ended();
    }
    else {
        this->observe_failure();
    }
    if (is_failure && this->can_repeat_attempt() &&
        this->services.retries.spend(this->request.target)) {
        this->end_attempt(attempt_result::failed);
        this->repeat_attempt();
        return;
    }
    this->end_attempt(is_failure ? attempt_result::failed : attempt_result::succeeded);
    this->request.answer->respond(this->answer->status, this->answer->headers,
                                  std::move(this->answer_body), nullptr);
    this->close(is_failure ? "endpoint_failed" : "answered");
}

void forward_flow::on_failed(const error& reason, dispatch_state dispatched)
{
    const auto self = this->shared_from_this();
    this->cancel_timer(this->first_byte_timer);
    if (this->handle_end_in_migration(false)) {
        return;
    }
    if (dispatched == dispatch_state::not_sent) {
        this->end_attempt(attempt_result::failed);
        this->services.log.write(
            log_level::warning, "endpoint_unreachable",
            {{"request", this->request.fields.id.value()}, {"error", reason.to_string()}});
        if (this->continuation) {
            this->handle_continuation_failed(reason);
            return;
        }
        --this->endpoints_tried;
        this->choose_endpoint();
        return;
    }
    this->runs.record_possible_run();
    this->count_usage();
    this->handle_attempt_lost(reason);
}

void forward_flow::handle_attempt_refused()
{
    this->end_attempt(attempt_result::refused);
    const auto reason =
        make_error(errc::unavailable, "call endpoint", this->current_placement.endpoint.value(),
                   "endpoint refused the request");
    if (this->continuation) {
        this->handle_continuation_failed(reason);
        return;
    }
    const bool may_try = this->may_start_run() &&
                         this->endpoints_tried < this->request.matched_route->max_endpoints &&
                         this->services.retries.spend(this->request.target);
    if (may_try) {
        this->repeat_attempt();
        return;
    }
    if (this->runs.may_have_run()) {
        this->give_up(status_bad_gateway, reason);
        return;
    }
    this->refuse_for_capacity("endpoint_refused", reason, duration::zero());
}

void forward_flow::handle_attempt_failure(const error& reason)
{
    this->runs.record_possible_run();
    this->continuation.reset();
    this->observe_failure();
    this->end_attempt(attempt_result::failed);
    this->services.log.write(log_level::warning, "attempt_failed",
                             {{"request", this->request.fields.id.value()},
                              {"endpoint", this->current_placement.endpoint.value()},
                              {"last_event", this->last_event},
                              {"answer_begun", this->answer.has_value()},
                              {"shared_parts", part_names(this->request.shared_parts)},
                              {"error", reason.to_string()}});
    const bool may_try =
        this->can_repeat_attempt() && this->services.retries.spend(this->request.target);
    if (may_try) {
        this->repeat_attempt();
        return;
    }
    this->give_up(status_bad_gateway, reason);
}

void forward_flow::repeat_attempt()
{
    this->services.counters.count("eelgrassbend_repeated_attempts_total",
                                  {{"service", this->request.target.value()}}, 1);
    this->choose_endpoint();
}

void forward_flow::end_attempt(attempt_result outcome)
{
    if (outcome == attempt_result::cancelled && this->answered_at && !this->is_answer_confirmed()) {
        this->services.crashes.handle_cancelled_attempt(this->current_evidence());
    }
    if (outcome == attempt_result::cancelled && this->observed && !this->answered_at) {
        this->services.rollouts->record_cancelled(*this->observed, this->services.time.now());
    }
    this->observed.reset();
    this->handle.reset();
    this->cancel_timer(this->stall_timer);
    if (this->attempt != 0) {
        this->services.loads.end_attempt(std::exchange(this->attempt, 0), outcome,
                                         this->services.time.now());
    }
}

void forward_flow::run_after(duration delay, std::optional<timer_id> forward_flow::* timer,
                             void (forward_flow::*step)())
{
    this->cancel_timer(this->*timer);
    this->*timer =
        this->services.time.call_after(delay, [weak = this->weak_from_this(), timer, step] {
            if (const auto self = weak.lock(); self && self->is_open) {
                ((*self).*timer).reset();
                ((*self).*step)();
            }
        });
}

void forward_flow::cancel_timer(std::optional<timer_id>& timer)
{
    if (timer) {
        this->services.time.cancel(*timer);
        timer.reset();
    }
}

} // namespace eelgrassbend
