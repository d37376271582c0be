#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/serving/forward_flow.h"

#include "forward_status.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

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
