#include "eelgrassbend/entry/serving_service.h"

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/discovery/entry_directory.h"
#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/routing/limiter.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/serving/stream_store.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

namespace eelgrassbend {

static serving_settings make_settings(const entry_settings& settings)
{
    serving_settings made;
    made.node = settings.node;
    made.progress_timeout = settings.progress_timeout;
    return made;
}

serving_service::serving_service(const entry_settings& settings, const resolved_services& needs)
    : settings(make_settings(settings)),
      hedges(needs.get<bundle_view>("bundles")),
      parts{this->settings,
            needs.get<scheduler>("scheduler"),
            needs.get<random_source>("random"),
            needs.get<event_log>("event_log"),
            needs.get<metrics>("metrics"),
            needs.get<bundle_view>("bundles"),
            needs.get<limiter>("limits"),
            needs.get<router>("router"),
            needs.get<endpoint_directory>("endpoints"),
            needs.get<endpoint_client>("endpoint_client"),
            needs.get<claim_service>("claims"),
            needs.get<ledger>("ledger"),
            needs.get<stream_store>("streams"),
            this->hedges},
      entrance(this->parts, needs.get<entry_directory>("entries"), needs.get<node_status>("status"))
{
    needs.get<endpoint_directory>("endpoints").on_change([this](const endpoint_info& changed) {
        this->entrance.handle_endpoint_changed(changed);
    });
    needs.get<stream_store>("streams").set_running_stream_handler(
        [this](const request_id& request) { return this->entrance.release_stream(request); });
}

} // namespace eelgrassbend
