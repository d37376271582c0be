#include "eelgrassbend/admission/admission_controller.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/serving/forward_flow.h"

#include "forward_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace eelgrassbend {

/// Greater estimates of an endpoint's slowdown are not a reason to refuse: they rest on single
/// observations and are often too high.
static constexpr double max_trusted_slowdown = 2.0;

// A plain endpoint has room again within one short request, so its callers are better off with an
// early second try than with a promised time.
bool forward_flow::is_subject_to_admission() const
{
    return !this->is_stream_started && this->engine() &&
           this->services.admission.covers(this->request.target);
}

admission_request forward_flow::make_admission_request() const
{
    const auto now = this->services.time.now();
    const auto& fields = this->request.fields;
    admission_request query;
    query.service = this->request.target;
    query.route = this->request.matched_route->name;
    query.priority = this->request.priority;
    query.organisation = this->request.caller.value_or(organisation_id{});
    query.units = this->request.units;
    query.size =
        fields.prompt_tokens + std::min(fields.expected_output.value_or(fields.max_output_tokens),
                                        fields.max_output_tokens);
    query.objective = this->request.matched_route->objective;
    query.stated_time_left = fields.time_left;
    query.time_left = this->deadline() - now;
    query.age = now - this->request.received_at;
    query.is_repeat = this->admitted_work.has_value();
    return query;
}

duration forward_flow::max_capacity_wait() const
{
    if (!this->is_subject_to_admission()) {
        return part_of(this->services.settings.hold_fraction,
                       this->request.matched_route->objective);
    }
    return this->services.admission
        .decide(this->make_admission_request(), this->services.time.now())
        .max_wait;
}

static const char* describe(placement_failure failure)
{
    switch (failure) {
    case placement_failure::all_full:
        return "all endpoints are full";
    case placement_failure::unchecked:
        return "endpoints are being checked";
    case placement_failure::no_endpoint:
        break;
    }
    return "no endpoint accepts requests";
}

// A check takes milliseconds, so its result is worth the wait as long as the caller is not late.
duration forward_flow::max_placement_wait(placement_failure failure) const
{
    switch (failure) {
    case placement_failure::all_full:
        return this->max_capacity_wait();
    case placement_failure::unchecked:
        return this->request.matched_route->objective;
    case placement_failure::no_endpoint:
        break;
    }
    return duration::zero();
}

// A request that is refused early can be retried by its caller within its objective. A stream that
// has started can only be resumed or lost, so it keeps waiting.
void forward_flow::wait_for_capacity(const placement_answer& found)
{
    if (this->is_version_gone()) {
        this->end_for_missing_version();
        return;
    }
    const auto now = this->services.time.now();
    if (!this->waiting_since) {
        this->waiting_since = now;
    }
    const bool may_have_capacity_soon =
        now - *this->waiting_since + this->services.settings.placement_retry_interval <
        this->max_placement_wait(found.reason);
    if (this->is_stream_started || may_have_capacity_soon) {
        this->excluded.clear();
        this->run_after(this->services.settings.placement_retry_interval,
                        &forward_flow::placement_timer, &forward_flow::choose_endpoint);
        return;
    }
    const bool is_full = found.reason == placement_failure::all_full;
    const auto reason = make_error(errc::unavailable, "place request", this->request.target.value(),
                                   describe(found.reason));
    if (this->runs.may_have_run()) {
        this->give_up(status_bad_gateway, reason);
        return;
    }
    this->refuse_for_capacity(is_full ? "all_full" : "no_endpoint", reason, found.wait);
}

// An attempt that has run already is not subject to the check: its answer is delivered even if it
// is late.
bool forward_flow::is_too_late(const placement_answer& found) const
{
    if (!this->is_subject_to_admission() || this->admitted_work || this->runs.may_have_run()) {
        return false;
    }
    const auto time_left = this->deadline() - this->services.time.now();
    if (found.chosen && part_of(std::min(found.chosen->slowdown, max_trusted_slowdown),
                                found.chosen->predicted) > time_left) {
        return true;
    }
    return this->services.admission
        .decide(this->make_admission_request(), this->services.time.now())
        .is_too_late;
}

void forward_flow::record_admission()
{
    if (!this->is_subject_to_admission()) {
        return;
    }
    const auto now = this->services.time.now();
    if (this->admitted_work) {
        this->services.admission.record_repeated(*this->admitted_work, now);
        return;
    }
    const auto query = this->make_admission_request();
    const bool is_returning = this->services.admission.decide(query, now).is_returning;
    this->admitted_work = this->services.admission.record_admitted(query, now);
    this->services.counters.count("eelgrassbend_admissions_total",
                                  {{"service", this->request.target.value()},
                                   {"priority", std::to_string(this->request.priority)},
                                   {"returning", is_returning ? "yes" : "no"}},
                                  1);
}

// The caller would have even less time if it returned earlier.
void forward_flow::refuse_too_late()
{
    return_offer offer;
    offer.after = std::max(this->services.settings.min_retry_after,
                           this->deadline() - this->services.time.now());
    this->log_admission_refusal("too_late", offer);
    this->refuse_not_run(make_error(errc::timed_out, "place request", this->request.target.value(),
                                    "request cannot be served within its time limit"),
                         offer.after);
}

void forward_flow::refuse_for_capacity(const char* cause, const error& reason, duration wait)
{
    if (!this->is_subject_to_admission()) {
        this->refuse_not_run(reason, std::max(wait, this->services.settings.min_retry_after));
        return;
    }
    const auto offer = this->services.admission.refuse(this->make_admission_request(), wait,
                                                       this->services.time.now());
    this->log_admission_refusal(cause, offer);
    this->refuse_not_run(reason, offer.after);
}

void forward_flow::log_admission_refusal(const char* cause, const return_offer& offer) const
{
    const auto decision =
        this->services.admission.decide(this->make_admission_request(), this->services.time.now());
    this->services.log.write(
        log_level::info, "admission_refused",
        {{"request", this->request.fields.id.value()},
         {"service", this->request.target.value()},
         {"reason", cause},
         {"priority", this->request.priority},
         {"organisation", this->request.caller.value_or(organisation_id{}).value()},
         {"organisation_use", decision.organisation_use},
         {"slot_share", decision.slot_share},
         {"returning", decision.is_returning},
         {"return_ms", whole_milliseconds(offer.after)},
         {"promised", offer.is_promised}});
    this->services.counters.count("eelgrassbend_admission_refusals_total",
                                  {{"service", this->request.target.value()},
                                   {"priority", std::to_string(this->request.priority)},
                                   {"reason", cause},
                                   {"returning", decision.is_returning ? "yes" : "no"},
                                   {"promised", offer.is_promised ? "yes" : "no"}},
                                  1);
}

} // namespace eelgrassbend
