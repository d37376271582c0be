#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/placement/engine_cost_estimator.h"
#include "eelgrassbend/quarantine/crash_detector.h"
#include "eelgrassbend/serving/forward_flow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrassbend {

/// Statuses that state that the request did not run.
static constexpr std::array not_run_statuses{408, 421, 429, 503};

bool forward_flow::may_be_sent_again() const
{
    const auto traits = this->engine();
    if (this->is_stream() && traits && traits->can_migrate) {
        return true;
    }
    return this->endpoints_tried < this->request.matched_route->max_endpoints &&
           this->runs.may_start_run(this->request.matched_route->is_repeatable());
}

// Bodies are most of what a process holds for its callers, and an answer may take seconds.
void forward_flow::release_body()
{
    if (!this->may_be_sent_again()) {
        this->is_body_released = true;
        this->request.http.body.reset();
    }
}

void forward_flow::on_sent()
{
    this->release_body();
}

// Only a repeatable request can be retried elsewhere after the timeout; any other waits for its
// answer.
void forward_flow::arm_first_byte_timer(const placement& chosen)
{
    this->cancel_timer(this->first_byte_timer);
    if (!this->can_repeat_attempt()) {
        return;
    }
    const auto& settings = this->services.settings;
    const auto expected = part_of(settings.first_byte_factor * chosen.slowdown, chosen.predicted);
    const auto timeout =
        std::clamp(expected, settings.min_first_byte_timeout, settings.max_first_byte_timeout);
    this->run_after(timeout, &forward_flow::first_byte_timer,
                    &forward_flow::handle_first_byte_timeout);
}

void forward_flow::handle_first_byte_timeout()
{
    if (!this->handle || this->answer) {
        return;
    }
    this->handle_attempt_failure(make_error(errc::timed_out, "await answer",
                                            this->current_placement.endpoint.value(),
                                            "no first byte before the timeout"));
}

void forward_flow::log_placement(const placement& chosen) const
{
    nlohmann::json line{{"request", this->request.fields.id.value()},
                        {"route", this->request.matched_route->name},
                        {"service", this->request.target.value()},
                        {"endpoint", chosen.endpoint.value()},
                        {"version", this->endpoint_version.value()},
                        {"attempt", this->endpoints_tried},
                        {"configuration", this->request.table->version().value()},
                        {"predicted_ms", whole_milliseconds(chosen.predicted)},
                        {"pace", chosen.slowdown},
                        {"kept_tokens", chosen.cached_tokens},
                        {"running", chosen.load.requests},
                        {"waiting_prompt", chosen.load.waiting_prompt},
                        {"considered", chosen.candidate_count}};
    if (!this->last_event.empty()) {
        line["last_event"] = this->last_event;
        line["resumes"] = this->request.fields.resumed_stream.value();
    }
    this->services.log.write(log_level::info, "route", line);
}

// Reports of the endpoint about itself are valid whatever the outcome of the request.
void forward_flow::apply_endpoint_notices()
{
    const auto now = this->services.time.now();
    const auto& endpoint = this->current_placement.endpoint;
    if (this->answer->load) {
        this->services.loads.record_report(endpoint, *this->answer->load, now);
    }
    if (this->answer->is_leaving) {
        this->services.endpoints.mark_draining_from_answer(endpoint, now);
    }
    if (this->answer->no_work_duration) {
        const auto pause = *this->answer->no_work_duration;
        this->services.endpoints.pause_work(endpoint, now + pause, now);
        this->services.log.write(log_level::info, "endpoint_wants_no_work",
                                 {{"request", this->request.fields.id.value()},
                                  {"endpoint", endpoint.value()},
                                  {"for_ms", whole_milliseconds(pause)}});
    }
    if (!this->answer->unreadable_header.empty()) {
        this->services.log.write(log_level::warning, "answer_header_unreadable",
                                 {{"request", this->request.fields.id.value()},
                                  {"endpoint", endpoint.value()},
                                  {"header", this->answer->unreadable_header}});
    }
}

void forward_flow::buffer_answer(std::string_view bytes)
{
    if (!this->buffer_reservation.grow(bytes.size())) {
        this->handle_attempt_failure(make_error(
            errc::invalid_argument, "read answer", this->current_placement.endpoint.value(),
            "answer exceeds the memory budget for buffered answers"));
        return;
    }
    this->answer_body += bytes;
}

void forward_flow::handle_answer_produced()
{
    if (!this->answered_at) {
        this->answered_at = this->services.time.now();
        this->observe_answer();
        this->services.crashes.handle_answer_produced(this->current_evidence());
    }
}

// A resumed run also prefills what it has produced before, of which the length is not known. The
// first event and not the head shows the end of the prefill: an engine may send the head before.
void forward_flow::learn_first_event()
{
    const auto engine = this->engine();
    if (!engine || !engine->is_slot_bound() || !this->is_new_run || this->first_event_at) {
        return;
    }
    const auto& chosen = this->current_placement;
    this->first_event_at = this->services.time.now();
    const auto reported = this->answer->load.value_or(reported_load{});
    this->services.costs.record_first_byte(
        this->request.target, {std::max<std::int64_t>(0, chosen.load.waiting_prompt),
                               chosen.work.uncached_prompt, chosen.load.requests, reported.slowdown,
                               *this->first_event_at - this->attempt_began_at, reported.waiting});
}

void forward_flow::learn_answer()
{
    if (this->first_event_at) {
        const auto& fields = this->request.fields;
        const auto expected = std::min(fields.expected_output.value_or(fields.max_output_tokens),
                                       fields.max_output_tokens);
        this->services.costs.record_answer(
            this->request.target, {expected, this->services.time.now() - *this->first_event_at});
    }
}

// The few endpoints of a canary phase may be full or have been tried; others then serve the
// request.
placement_answer forward_flow::find_endpoint()
{
    const auto search = [this] {
        return this->services.places.choose(this->make_placement_request(), this->engine(),
                                            this->services.time.now());
    };
    auto found = search();
    if (!found.chosen && std::exchange(this->wants_target, false)) {
        found = search();
    }
    return found;
}

// The expected time is that without cached prompt parts: new endpoints have cached fewer of them.
// Plain answers are often much faster than the placer assumes.
void forward_flow::observe_attempt(const known_endpoint* endpoint)
{
    constexpr int plain_time_divisor = 4;
    this->observed.reset();
    if (this->services.rollouts == nullptr || endpoint == nullptr || this->continuation) {
        return;
    }
    const auto& chosen = this->current_placement;
    auto expected = chosen.predicted / plain_time_divisor;
    if (const auto engine = this->engine()) {
        const auto costs = engine->is_slot_bound()
                               ? this->services.costs.costs(this->request.target)
                               : engine_costs{};
        expected =
            chosen.predicted + std::chrono::duration_cast<duration>(engine_cost_model::prefill_time(
                                   chosen.cached_tokens, chosen.load.requests, costs));
    }
    this->observed = this->services.rollouts->begin_attempt(
        *endpoint, this->request.matched_route->name, expected, this->services.time.now());
}

void forward_flow::observe_answer()
{
    if (this->observed) {
        this->services.rollouts->record_answer(*this->observed, this->services.time.now());
    }
}

void forward_flow::observe_failure()
{
    if (this->observed) {
        this->services.rollouts->record_failure(*this->observed);
        this->observed.reset();
    }
}

bool forward_flow::is_answer_confirmed() const
{
    return this->answered_at &&
           this->services.time.now() - *this->answered_at >= answer_confirmation_time;
}

attempt_evidence forward_flow::current_evidence() const
{
    return {this->current_placement.endpoint, this->endpoint_started,
            this->current_placement.address,  this->request.fields.id,
            this->answer.has_value(),         this->request.shared_parts};
}

// A stream that is lost between its head and its first event is the most likely cause of a crash,
// so it is repeated only if other requests with its parts were answered.
void forward_flow::handle_attempt_lost(const error& reason)
{
    if (!this->is_answer_confirmed()) {
        const bool is_unproven = this->services.quarantine.has_unproven_part(
            this->request.shared_parts, this->services.time.now());
        if (!this->answered_at || is_unproven) {
            ++this->attempts_lost_unconfirmed;
        }
        this->is_suspected = this->is_stream() && this->answer && !this->answered_at && is_unproven;
        this->services.crashes.handle_lost_attempt(this->current_evidence());
    }
    this->handle_attempt_failure(reason);
}

// A close-delimited answer ends in the same way if its endpoint crashes.
void forward_flow::handle_answer_ended()
{
    if (!this->answered_at || this->is_answer_confirmed()) {
        return;
    }
    if (!this->answer->is_close_delimited) {
        this->services.crashes.handle_answer_completed(this->current_evidence());
        return;
    }
    if (this->services.quarantine.has_unproven_part(this->request.shared_parts,
                                                    this->services.time.now())) {
        this->services.crashes.handle_lost_attempt(this->current_evidence());
    }
}

// Statuses that state that the request did not run are trusted only with the header for it. A
// stream that is resumed must go on in the form in which it began: its head has been forwarded.
const char* forward_flow::answer_head_defect() const
{
    const auto& head = *this->answer;
    if (std::find(not_run_statuses.begin(), not_run_statuses.end(), head.status) !=
        not_run_statuses.end()) {
        return "without the header for a request that did not run";
    }
    if (!head.is_success()) {
        return nullptr;
    }
    if (!head.is_signed || head.id != this->request.fields.id) {
        return "without the signature of the answer";
    }
    const bool is_resumed = this->is_stream() && this->stream_head && !this->is_new_run;
    if (is_resumed && (head.status != this->stream_head->status ||
                       head.content_type != this->stream_head->content_type)) {
        return "or content type differs from the stream that is resumed";
    }
    return nullptr;
}

// A close-delimited stream of an engine that crashes ends like a complete one. Every run produces
// at least one event; one that the caller has events of may have no more to send.
const char* forward_flow::stream_end_defect() const
{
    if (this->events.is_within_event()) {
        return "stream ended within an event";
    }
    const bool has_forwarded = this->is_stream_started || !this->request.fields.last_event.empty();
    if (!has_forwarded && !this->answered_at) {
        return "stream ended before its first event";
    }
    return nullptr;
}

// Only complete events count as progress, since other bytes are not forwarded to the caller. A slow
// but live stream emits an event well within the time after which callers disconnect.
void forward_flow::arm_stall_timer()
{
    this->cancel_timer(this->stall_timer);
    if (!this->can_repeat_attempt()) {
        return;
    }
    const auto& settings = this->services.settings;
    const auto gap = part_of(settings.stall_gap_factor, this->request.matched_route->max_event_gap);
    const auto objective =
        part_of(settings.stall_objective_factor, this->request.matched_route->objective);
    const auto timeout = std::max({settings.min_stall_timeout, gap, objective});
    this->run_after(timeout, &forward_flow::stall_timer, &forward_flow::handle_stall_timeout);
}

void forward_flow::handle_stall_timeout()
{
    if (!this->handle || !this->answer || this->migration) {
        return;
    }
    this->handle_attempt_failure(make_error(errc::timed_out, "read event stream",
                                            this->current_placement.endpoint.value(),
                                            "no complete event before the timeout"));
}

} // namespace eelgrassbend
