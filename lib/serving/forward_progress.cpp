#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/quarantine/crash_detector.h"
#include "eelgrassbend/serving/forward_flow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

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
    if (!std::exchange(this->has_event, true)) {
        this->services.quarantine.record_answer(this->request.shared_parts,
                                                this->services.time.now());
    }
}

// A stream that is lost between its head and its first event is the most likely cause of a crash,
// so it is repeated only if other requests with its parts were answered.
void forward_flow::handle_attempt_lost(const error& reason)
{
    if (!this->has_event) {
        ++this->attempts_lost_before_event;
        this->is_suspected = this->is_stream() && this->answer &&
                             this->services.quarantine.has_unproven_part(this->request.shared_parts,
                                                                         this->services.time.now());
        const auto* known = this->services.endpoints.find(this->current_placement.endpoint);
        this->services.crashes.handle_lost_attempt(
            {this->current_placement.endpoint, known != nullptr ? known->record.started : 0,
             this->current_placement.address, this->request.fields.id, this->answer.has_value(),
             this->request.shared_parts});
    }
    this->handle_attempt_failure(reason);
}

// A close-delimited stream of an engine that crashes ends like a complete one. Every run produces
// at least one event; a resumed one may have no more to send.
const char* forward_flow::stream_end_defect() const
{
    if (this->events.is_within_event()) {
        return "stream ended within an event";
    }
    if (this->is_new_run && !this->has_event) {
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
