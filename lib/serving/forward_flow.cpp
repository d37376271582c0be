#include "eelgrassbend/serving/forward_flow.h"

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/demand_tracker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace eelgrassbend {

static constexpr int status_bad_gateway = 502;
static constexpr int status_unavailable = 503;
static constexpr int status_gateway_timeout = 504;
/// Statuses by which an answer promises that the request did not run.
static constexpr std::array promising_statuses{408, 421, 429, 503};
/// A request with less time than this is not worth sending.
static constexpr std::chrono::milliseconds least_time_left{5};
/// Longest time that a request waits for its endpoint, where neither the caller nor the route
/// names one.
static constexpr std::chrono::seconds longest_time{60};
/// Stands for the last event where the caller has seen none.
static constexpr const char* before_first_event = "0";
/// Least urgent rank that engines know.
static constexpr int last_rank = 9;
/// Ranks between two priorities, so that requests with a short objective go before those with a
/// long one within a priority.
static constexpr int ranks_per_priority = 2;
/// Streams with a objective above this leave the first place to shorter ones.
static constexpr std::chrono::milliseconds short_objective{800};

forward_flow::forward_flow(const forward_services& services, forwarded_request request,
                           ended_handler on_ended)
    : services(services),
      request(std::move(request)),
      on_ended(std::move(on_ended)),
      gathered(services.answer_memory)
{
    this->last_event = this->request.facts.last_event;
}

forward_flow::~forward_flow()
{
    this->cancel_timer(this->final_timer);
    this->cancel_timer(this->place_timer);
    this->cancel_timer(this->first_byte_timer);
    this->cancel_timer(this->stall_timer);
    this->cancel_timer(this->move_timer);
}

void forward_flow::begin()
{
    std::weak_ptr<forward_flow> weak = this->weak_from_this();
    this->request.answer->on_gone([weak] {
        if (const auto self = weak.lock()) {
            self->caller_gone();
        }
    });
    this->run_after(this->final_time() - this->services.time.now(), &forward_flow::final_timer,
                    &forward_flow::time_passed);
    this->place();
}

bool forward_flow::is_stream() const
{
    return this->request.chosen->kind == request_kind::stream;
}

monotonic_time forward_flow::final_time() const
{
    auto span = duration{longest_time};
    if (this->request.chosen->timeout > duration::zero()) {
        span = std::min(span, this->request.chosen->timeout);
    }
    if (this->request.facts.time_left) {
        span = std::min(span, *this->request.facts.time_left);
    }
    return this->request.received + span;
}

placement_request forward_flow::describe() const
{
    const auto& facts = this->request.facts;
    placement_request wanted;
    wanted.service = this->request.target;
    wanted.parts = facts.parts;
    wanted.prompt_tokens = facts.prompt_tokens;
    wanted.output_tokens =
        std::min(facts.expected_output.value_or(facts.most_output), facts.most_output);
    wanted.max_wait = this->longest_wait();
    wanted.excluded = this->excluded;
    return wanted;
}

// Engines read prompts in the order in which they come, so what waits there for long delays the
// requests with the shortest objective too. The less urgent a request, the shorter the wait that it
// may add to; so the more urgent ones find room as long as there is any.
std::optional<duration> forward_flow::longest_wait() const
{
    const auto objective = this->request.table->min_stream_objective(this->request.target);
    if (!objective || this->stream_started) {
        return std::nullopt;
    }
    const auto& settings = this->services.settings;
    const double part =
        settings.wait_part * std::pow(settings.wait_part_per_priority, this->request.priority);
    return part_of(part, *objective);
}

std::optional<engine_traits> forward_flow::engine() const
{
    return this->request.service != nullptr ? this->request.service->engine : std::nullopt;
}

void forward_flow::place()
{
    const auto found =
        this->services.places.choose(this->describe(), this->engine(), this->services.time.now());
    this->count_demand(found);
    if (found.chosen) {
        this->dispatch(*found.chosen);
        return;
    }
    this->wait_for_room(found);
}

void forward_flow::count_demand(const placement_answer& found)
{
    if (!this->engine() || std::exchange(this->demand_counted, true)) {
        return;
    }
    const auto uncached =
        found.chosen ? std::optional{found.chosen->work.uncached_prompt} : std::nullopt;
    const auto wanted = this->describe();
    this->services.demand.record_request(wanted.service, wanted.prompt_tokens, uncached,
                                         wanted.output_tokens);
}

// Callers lose nothing by a refusal that comes early, and can come back while their objective can
// still be met. A stream that has begun can only go on or be lost, so it waits.
void forward_flow::wait_for_room(const placement_answer& found)
{
    const auto now = this->services.time.now();
    if (!this->waiting_since) {
        this->waiting_since = now;
    }
    const auto hold = part_of(this->services.settings.hold_part, this->request.chosen->objective);
    const bool has_room_soon =
        found.reason == placement_failure::all_full &&
        now - *this->waiting_since + this->services.settings.placement_pause < hold;
    if (this->stream_started || has_room_soon) {
        this->excluded.clear();
        this->run_after(this->services.settings.placement_pause, &forward_flow::place_timer,
                        &forward_flow::place);
        return;
    }
    const bool is_full = found.reason == placement_failure::all_full;
    const auto reason =
        make_error(errc::unavailable, "place request", this->request.target.value(),
                   is_full ? "all endpoints are full" : "no endpoint takes requests");
    if (this->may_have_run) {
        this->give_up(status_bad_gateway, reason);
        return;
    }
    this->refuse_not_run(reason, std::max(found.wait, this->services.settings.least_retry_after));
}

void forward_flow::dispatch(const placement& chosen)
{
    this->where = chosen;
    this->waiting_since.reset();
    this->answer.reset();
    this->answer_body.clear();
    this->gathered.clear();
    this->events.reset();
    this->is_new_run = this->memory_source.empty() && this->last_event.empty();
    const auto now = this->services.time.now();
    if (this->final_time() - now < least_time_left) {
        return; // the final timer is about to fire
    }
    ++this->endpoints_tried;
    this->excluded.insert(chosen.endpoint);
    this->log_placement(chosen);
    this->attempt =
        this->services.loads.begin_attempt(chosen.endpoint, chosen.work, chosen.predicted, now);
    if (!this->request.facts.parts.empty()) {
        this->services.cache.record_use(chosen.endpoint, this->request.facts.parts, now);
    }
    this->handle =
        this->services.client.dispatch(chosen.address, this->make_attempt(chosen), *this);
    this->memory_source.clear();
    this->arm_first_byte_timer(chosen);
}

endpoint_request forward_flow::make_attempt(const placement& chosen) const
{
    forward_order order;
    order.endpoint = chosen.endpoint;
    order.organisation = this->request.caller.value_or(organisation_id{});
    order.time_left = this->final_time() - this->services.time.now();
    order.last_event = this->last_event;
    order.memory_source = this->memory_source;
    if (!this->memory_source.empty() && this->last_event.empty()) {
        order.last_event = before_first_event;
    }
    if (this->engine()) {
        const bool is_long = this->request.chosen->objective > short_objective;
        order.urgency = std::clamp(ranks_per_priority * this->request.priority + (is_long ? 1 : 0),
                                   0, last_rank);
    }
    endpoint_request attempt_request;
    attempt_request.attempt = attempt_id{this->request.facts.id.value()};
    attempt_request.method = this->request.http.method;
    attempt_request.target = this->request.http.target;
    attempt_request.headers = this->services.protocol.endpoint_headers(this->request.http, order);
    attempt_request.body = this->request.http.body;
    return attempt_request;
}

// Only what may be repeated can leave a silent endpoint; anything else waits for its answer.
void forward_flow::arm_first_byte_timer(const placement& chosen)
{
    this->cancel_timer(this->first_byte_timer);
    if (!this->may_go_elsewhere()) {
        return;
    }
    const auto& settings = this->services.settings;
    const auto expected = part_of(settings.first_byte_factor * chosen.slowdown, chosen.predicted);
    const auto timeout = std::clamp(expected, settings.shortest_first_byte_timeout,
                                    settings.longest_first_byte_timeout);
    this->run_after(timeout, &forward_flow::first_byte_timer, &forward_flow::first_byte_overdue);
}

void forward_flow::first_byte_overdue()
{
    if (!this->handle || this->answer) {
        return;
    }
    this->attempt_broke(make_error(errc::timed_out, "await answer", this->where.endpoint.value(),
                                   "no first byte in time"));
}

bool forward_flow::may_go_elsewhere() const
{
    return this->request.chosen->is_repeatable() &&
           this->endpoints_tried < this->request.chosen->max_endpoints;
}

void forward_flow::log_placement(const placement& chosen) const
{
    this->services.log.write(log_level::info, "route",
                             {{"request", this->request.facts.id.value()},
                              {"route", this->request.chosen->name},
                              {"service", this->request.target.value()},
                              {"endpoint", chosen.endpoint.value()},
                              {"attempt", this->endpoints_tried},
                              {"configuration", this->request.table->version().value()},
                              {"predicted_ms", whole_milliseconds(chosen.predicted)},
                              {"pace", chosen.slowdown},
                              {"kept_tokens", chosen.cached_tokens},
                              {"running", chosen.load.requests},
                              {"waiting_prompt", chosen.load.waiting_prompt},
                              {"considered", chosen.candidate_count}});
}

void forward_flow::on_head(int status, const header_list& headers)
{
    const auto self = this->shared_from_this();
    this->cancel_timer(this->first_byte_timer);
    this->answer = this->services.protocol.read_answer(status, headers);
    this->take_notices();
    if (this->answer->is_not_run) {
        this->attempt_refused();
        return;
    }
    this->may_have_run = true;
    this->answer_began();
    const bool is_promise = std::find(promising_statuses.begin(), promising_statuses.end(),
                                      status) != promising_statuses.end();
    const bool is_own = this->answer->is_signed && this->answer->id == this->request.facts.id;
    if (is_promise || (this->answer->is_success() && !is_own)) {
        this->attempt_broke(make_error(
            errc::mismatched, "read answer", this->where.endpoint.value(),
            "status " + std::to_string(status) + " without the signature of the answer"));
        return;
    }
    // A run that goes on keeps the head of its beginning; one that starts again has a new one.
    if (this->is_stream() && this->answer->is_success()) {
        if (!this->stream_head || this->is_new_run) {
            this->stream_head = this->answer;
        }
        this->expect_event();
    }
}

void forward_flow::answer_began()
{
    this->services.loads.record_first_byte(this->attempt, this->services.time.now());
    this->count_usage();
}

void forward_flow::count_usage()
{
    if (this->request.caller && !std::exchange(this->usage_counted, true)) {
        this->services.usage.record_start(*this->request.caller, this->services.time.wall_now());
    }
}

void forward_flow::on_body(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (!this->is_stream() || !this->answer->is_success()) {
        this->gather(bytes);
        return;
    }
    this->pass_events(bytes);
}

// Only whole events are passed on: an endpoint can break off within one, and another endpoint
// goes on after the last whole one.
void forward_flow::pass_events(std::string_view bytes)
{
    auto whole = this->events.feed(bytes);
    if (!whole) {
        this->attempt_broke(whole.error());
        return;
    }
    std::string passed;
    for (const auto& event : whole.value()) {
        passed += event;
        if (auto id = sse_event_id(event); !id.empty()) {
            this->last_event = std::move(id);
        }
    }
    if (passed.empty()) {
        return;
    }
    this->start_stream();
    this->expect_event();
    this->request.answer->send(std::move(passed));
}

void forward_flow::start_stream()
{
    if (std::exchange(this->stream_started, true)) {
        return;
    }
    this->request.answer->start(this->stream_head->status, this->stream_head->headers);
    const std::chrono::duration<double> waited{this->services.time.now() - this->request.received};
    this->services.counters.observe("eelgrassbend_first_event_seconds",
                                    {{"route", this->request.chosen->name}}, waited.count());
}

void forward_flow::on_completed()
{
    const auto self = this->shared_from_this();
    if (!this->is_stream() || !this->answer->is_success()) {
        this->deliver();
        return;
    }
    if (this->ended_for_move()) {
        return;
    }
    if (this->events.is_within_event()) {
        this->attempt_broke(make_error(errc::truncated, "read event stream",
                                       this->where.endpoint.value(), "ended within an event"));
        return;
    }
    this->start_stream();
    this->end_attempt(attempt_result::succeeded);
    this->request.answer->finish({}, nullptr);
    this->close("answered");
}

// A failure of an endpoint can be made good by another one where that is allowed.
void forward_flow::deliver()
{
    constexpr int first_server_error = 500;
    if (this->stream_started) {
        this->attempt_broke(make_error(errc::unavailable, "resume stream",
                                       this->where.endpoint.value(),
                                       "status " + std::to_string(this->answer->status)));
        return;
    }
    const bool is_failure = this->answer->status >= first_server_error;
    if (is_failure && this->may_go_elsewhere() &&
        this->services.retries.spend(this->request.target)) {
        this->end_attempt(attempt_result::failed);
        this->go_elsewhere();
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
    if (this->ended_for_move()) {
        return;
    }
    if (dispatched == dispatch_state::not_sent) {
        this->end_attempt(attempt_result::failed);
        --this->endpoints_tried;
        this->services.log.write(
            log_level::warning, "endpoint_unreachable",
            {{"request", this->request.facts.id.value()}, {"error", reason.to_string()}});
        this->place();
        return;
    }
    this->may_have_run = true;
    this->count_usage();
    this->attempt_broke(reason);
}

void forward_flow::attempt_refused()
{
    this->end_attempt(attempt_result::refused);
    const bool may_try = this->endpoints_tried < this->request.chosen->max_endpoints &&
                         this->services.retries.spend(this->request.target);
    if (may_try) {
        this->go_elsewhere();
        return;
    }
    const auto reason = make_error(errc::unavailable, "call endpoint", this->where.endpoint.value(),
                                   "endpoint refused the request");
    if (this->may_have_run) {
        this->give_up(status_bad_gateway, reason);
        return;
    }
    this->refuse_not_run(reason, this->services.settings.least_retry_after);
}

void forward_flow::attempt_broke(const error& reason)
{
    this->may_have_run = true;
    this->end_attempt(attempt_result::failed);
    this->services.log.write(log_level::warning, "attempt_failed",
                             {{"request", this->request.facts.id.value()},
                              {"endpoint", this->where.endpoint.value()},
                              {"last_event", this->last_event},
                              {"error", reason.to_string()}});
    const bool may_try =
        this->may_go_elsewhere() && this->services.retries.spend(this->request.target);
    if (may_try) {
        this->go_elsewhere();
        return;
    }
    this->give_up(status_bad_gateway, reason);
}

void forward_flow::go_elsewhere()
{
    this->services.counters.count("eelgrassbend_repeated_attempts_total",
                                  {{"service", this->request.target.value()}}, 1);
    this->place();
}

void forward_flow::end_attempt(attempt_result how)
{
    this->handle.reset();
    this->cancel_timer(this->stall_timer);
    if (this->attempt != 0) {
        this->services.loads.end_attempt(std::exchange(this->attempt, 0), how,
                                         this->services.time.now());
    }
}

void forward_flow::time_passed()
{
    const auto reason = make_error(errc::timed_out, "await answer", this->where.endpoint.value(),
                                   "the time for the request has passed");
    const bool was_sent = this->handle != nullptr;
    this->end_attempt(attempt_result::cancelled);
    if (was_sent || this->may_have_run) {
        this->give_up(status_gateway_timeout, reason);
        return;
    }
    this->refuse_not_run(reason, this->services.settings.least_retry_after);
}

void forward_flow::caller_gone()
{
    if (!this->open) {
        return;
    }
    const auto self = this->shared_from_this();
    this->end_attempt(attempt_result::cancelled);
    this->close("caller_gone");
}

void forward_flow::refuse_not_run(error reason, std::optional<duration> retry_after)
{
    if (this->request.caller) {
        this->services.quotas.refund(*this->request.caller, this->request.units,
                                     this->services.time.now());
    }
    forward_refusal refused{status_unavailable, std::move(reason), retry_after};
    this->request.answer->respond(refused.status, this->services.protocol.refusal_headers(refused),
                                  {}, nullptr);
    this->close("refused");
}

void forward_flow::give_up(int status, const error& reason)
{
    if (this->stream_started) {
        this->request.answer->abort();
        this->close("broken_off");
        return;
    }
    forward_refusal refused{status, reason, std::nullopt};
    this->request.answer->respond(status, this->services.protocol.refusal_headers(refused), {},
                                  nullptr);
    this->close("failed");
}

void forward_flow::close(const char* outcome)
{
    if (!std::exchange(this->open, false)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->cancel_timer(this->final_timer);
    this->cancel_timer(this->place_timer);
    this->cancel_timer(this->first_byte_timer);
    this->cancel_timer(this->stall_timer);
    this->cancel_timer(this->move_timer);
    this->move.reset();
    const auto spent = this->services.time.now() - this->request.received;
    this->services.log.write(log_level::info, "answer",
                             {{"request", this->request.facts.id.value()},
                              {"route", this->request.chosen->name},
                              {"endpoint", this->where.endpoint.value()},
                              {"outcome", outcome},
                              {"status", this->answer ? this->answer->status : 0},
                              {"attempts", this->endpoints_tried},
                              {"time_ms", whole_milliseconds(spent)}});
    this->services.counters.count("eelgrassbend_requests_total",
                                  {{"route", this->request.chosen->name}, {"outcome", outcome}}, 1);
    this->services.counters.observe("eelgrassbend_request_seconds",
                                    {{"route", this->request.chosen->name}},
                                    std::chrono::duration<double>(spent).count());
    this->on_ended(*this);
}

void forward_flow::run_after(duration delay, std::optional<timer_id> forward_flow::* timer,
                             void (forward_flow::*step)())
{
    this->cancel_timer(this->*timer);
    this->*timer =
        this->services.time.call_after(delay, [weak = this->weak_from_this(), timer, step] {
            if (const auto self = weak.lock(); self && self->open) {
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
