#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/serving/forward_flow.h"
#include "eelgrassbend/streams/stream_origins.h"

#include "forward_status.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

bool forward_flow::is_resumable_stream() const
{
    return this->is_stream() && this->request.matched_route->is_resumable;
}

bool forward_flow::resumes_stream() const
{
    return this->is_resumable_stream() && !this->request.fields.last_event.empty();
}

// A caller that does not name the stream can be served only where there is no choice.
void forward_flow::find_origin()
{
    const auto& stream = this->request.fields.resumed_stream;
    if (stream.value().empty()) {
        const auto only = this->services.endpoints.only_version(this->request.target);
        this->handle_origin_found(only ? result<software_version>{*only}
                                       : make_error(errc::unavailable, "find stream origin",
                                                    this->request.target.value(),
                                                    "the caller does not name the stream"));
        return;
    }
    this->services.origins.find(
        this->request.target, stream,
        [weak = this->weak_from_this()](const result<software_version>& found) {
            if (const auto self = weak.lock(); self && self->is_open) {
                self->handle_origin_found(found);
            }
        });
}

void forward_flow::handle_origin_found(const result<software_version>& found)
{
    if (!found) {
        this->services.counters.count("eelgrassbend_streams_without_origin_total",
                                      {{"service", this->request.target.value()}}, 1);
        this->refuse_not_run(found.error(), this->services.settings.min_retry_after);
        return;
    }
    this->stream_version = found.value();
    this->choose_endpoint();
}

// Only the record of the newest run counts: an earlier one had no event.
void forward_flow::record_origin()
{
    if (!this->is_resumable_stream() || !this->is_new_run) {
        return;
    }
    if (!this->held_answer) {
        this->held_answer = std::make_shared<held_exchange>(this->request.answer);
        this->request.answer = this->held_answer;
    }
    // The answer outlives a flow whose stream has ended.
    this->services.origins.record(
        this->request.target, this->request.fields.id, this->endpoint_version,
        [held = this->held_answer, number = this->held_answer->hold()] { held->release(number); });
}

bool forward_flow::is_version_gone() const
{
    return this->stream_version &&
           !this->services.endpoints.has_version(this->request.target, *this->stream_version);
}

void forward_flow::end_for_missing_version()
{
    this->services.log.write(log_level::info, "stream_version_gone",
                             {{"request", this->request.fields.id.value()},
                              {"service", this->request.target.value()},
                              {"version", this->stream_version->value()},
                              {"last_event", this->last_event}});
    this->services.counters.count("eelgrassbend_streams_without_version_total",
                                  {{"service", this->request.target.value()}}, 1);
    const auto reason = make_error(errc::unavailable, "place request", this->request.target.value(),
                                   "no endpoint has the version of the stream");
    if (this->runs.may_have_run()) {
        this->give_up(status_bad_gateway, reason);
        return;
    }
    this->refuse_not_run(reason, this->services.settings.max_retry_after);
}

} // namespace eelgrassbend
