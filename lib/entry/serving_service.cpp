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
    serving_settings result;
    result.node = settings.node;
    result.progress_timeout = settings.progress_timeout;
    return result;
}

serving_service::serving_service(const entry_settings& settings,
                                 const resolved_services& dependencies)
    : settings(make_settings(settings)),
      hedges(dependencies.get<bundle_view>("bundles")),
      services{this->settings,
               dependencies.get<scheduler>("scheduler"),
               dependencies.get<random_source>("random"),
               dependencies.get<event_log>("event_log"),
               dependencies.get<metrics>("metrics"),
               dependencies.get<bundle_view>("bundles"),
               dependencies.get<limiter>("limits"),
               dependencies.get<router>("router"),
               dependencies.get<endpoint_directory>("endpoints"),
               dependencies.get<endpoint_client>("endpoint_client"),
               dependencies.get<claim_service>("claims"),
               dependencies.get<ledger>("ledger"),
               dependencies.get<stream_store>("streams"),
               this->hedges},
      handler(this->services, dependencies.get<entry_directory>("entries"),
              dependencies.get<node_status>("status"))
{
    dependencies.get<endpoint_directory>("endpoints")
        .on_change([this](const endpoint_info& changed) {
            this->handler.handle_endpoint_changed(changed);
        });
    dependencies.get<stream_store>("streams").set_running_stream_handler(
        [this](const request_id& request) { return this->handler.release_stream(request); });
}

} // namespace eelgrassbend
