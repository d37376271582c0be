#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/serving/forward_flow.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

// What the endpoint says of itself holds whatever becomes of the request.
void forward_flow::take_notices()
{
    const auto now = this->services.time.now();
    const auto& endpoint = this->where.endpoint;
    if (this->answer->load) {
        this->services.loads.record_report(endpoint, *this->answer->load, now);
    }
    if (this->answer->is_leaving) {
        this->services.endpoints.mark_draining_from_answer(endpoint, now);
    }
    if (this->answer->no_work_for) {
        const auto pause = *this->answer->no_work_for;
        this->services.endpoints.pause_work(endpoint, now + pause, now);
        this->services.log.write(log_level::info, "endpoint_wants_no_work",
                                 {{"request", this->request.facts.id.value()},
                                  {"endpoint", endpoint.value()},
                                  {"for_ms", whole_milliseconds(pause)}});
    }
    if (!this->answer->unreadable.empty()) {
        this->services.log.write(log_level::warning, "answer_header_unreadable",
                                 {{"request", this->request.facts.id.value()},
                                  {"endpoint", endpoint.value()},
                                  {"header", this->answer->unreadable}});
    }
}

void forward_flow::gather(std::string_view bytes)
{
    if (!this->gathered.grow(bytes.size())) {
        this->attempt_broke(make_error(errc::invalid_argument, "read answer",
                                       this->where.endpoint.value(),
                                       "answer does not fit the memory for answers"));
        return;
    }
    this->answer_body += bytes;
}

// A stream makes progress by whole events: bytes that complete none bring its caller nothing. One
// that is merely slow has an event well within the time after which callers leave.
void forward_flow::expect_event()
{
    this->cancel_timer(this->stall_timer);
    if (!this->may_go_elsewhere()) {
        return;
    }
    const auto& settings = this->services.settings;
    const auto gap = part_of(settings.stall_gaps, this->request.chosen->max_event_gap);
    const auto objective = part_of(settings.stall_objectives, this->request.chosen->objective);
    const auto timeout = std::max({settings.least_stall_timeout, gap, objective});
    this->run_after(timeout, &forward_flow::stall_timer, &forward_flow::stream_stalled);
}

void forward_flow::stream_stalled()
{
    if (!this->handle || !this->answer || this->move) {
        return;
    }
    this->attempt_broke(make_error(errc::timed_out, "read event stream",
                                   this->where.endpoint.value(), "no whole event in time"));
}

} // namespace eelgrassbend
