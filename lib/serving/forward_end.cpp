#include "eelgrassbend/admission/admission_controller.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/serving/forward_flow.h"

#include "forward_status.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace eelgrassbend {

void forward_flow::handle_deadline()
{
    const auto reason =
        make_error(errc::timed_out, "await answer", this->current_placement.endpoint.value(),
                   "request deadline has passed");
    this->cancel_request(status_gateway_timeout, reason, this->services.settings.min_retry_after);
}

void forward_flow::cancel_request(int status, const error& reason, duration retry_after)
{
    const bool was_sent = this->handle != nullptr;
    this->end_attempt(attempt_result::cancelled);
    if (was_sent || this->runs.may_have_run()) {
        this->give_up(status, reason);
        return;
    }
    this->refuse_not_run(reason, retry_after);
}

// The request may still be queued at its endpoint; cancelling the attempt takes it out of the
// queue.
void forward_flow::handle_quarantine_started()
{
    const bool is_answered = this->answered_at || this->is_stream_started;
    if (!this->is_open || is_answered ||
        !this->services.quarantine.is_quarantined(this->request.shared_parts)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->cancel_request(status_bad_gateway,
                         make_error(errc::unavailable, "check prompt", this->request.target.value(),
                                    "prompt has parts that crashed endpoints"),
                         this->services.settings.max_retry_after);
}

// A connection that ends without an answer tells the caller less than a status.
void forward_flow::handle_stop()
{
    if (!this->is_open) {
        return;
    }
    const auto self = this->shared_from_this();
    this->cancel_request(status_gateway_timeout,
                         make_error(errc::unavailable, "await answer",
                                    this->current_placement.endpoint.value(), "node is stopping"),
                         this->services.settings.min_retry_after);
}

void forward_flow::handle_caller_disconnected()
{
    if (!this->is_open) {
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
    const bool is_held = this->held_answer && !this->held_answer->has_begun();
    if (this->is_stream_started && !is_held) {
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
    if (!std::exchange(this->is_open, false)) {
        return;
    }
    const auto self = this->shared_from_this();
    this->cancel_timer(this->deadline_timer);
    this->cancel_timer(this->placement_timer);
    this->cancel_timer(this->first_byte_timer);
    this->cancel_timer(this->stall_timer);
    this->cancel_timer(this->migration_timer);
    this->migration.reset();
    if (this->admitted_work) {
        this->services.admission.record_ended(*this->admitted_work,
                                              std::string_view{outcome} == "answered",
                                              this->services.time.now());
    }
    const auto spent = this->services.time.now() - this->request.received_at;
    this->services.log.write(log_level::info, "answer",
                             {{"request", this->request.fields.id.value()},
                              {"route", this->request.matched_route->name},
                              {"endpoint", this->current_placement.endpoint.value()},
                              {"outcome", outcome},
                              {"status", this->answer ? this->answer->status : 0},
                              {"attempts", this->endpoints_tried},
                              {"time_ms", whole_milliseconds(spent)}});
    this->services.counters.count(
        "eelgrassbend_requests_total",
        {{"route", this->request.matched_route->name}, {"outcome", outcome}}, 1);
    this->services.counters.observe("eelgrassbend_request_seconds",
                                    {{"route", this->request.matched_route->name}},
                                    std::chrono::duration<double>(spent).count());
    this->on_ended(*this);
}

} // namespace eelgrassbend
