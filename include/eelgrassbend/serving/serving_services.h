#ifndef EELGRASSBEND_SERVING_SERVING_SERVICES_H
#define EELGRASSBEND_SERVING_SERVING_SERVICES_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

namespace eelgrassbend {

class bundle_view;
class claim_service;
class endpoint_client;
class endpoint_directory;
class entry_directory;
class event_log;
class hedge_policy;
class ledger;
class limiter;
class membership;
class metrics;
class random_source;
class router;
class scheduler;
class stream_store;

struct serving_settings {
    node_id node;
    duration progress_timeout = std::chrono::seconds{5}; ///< without bytes from an endpoint
    /// Delay before a started request searches for an endpoint again; doubles up to the maximum.
    duration retry_pause = std::chrono::milliseconds{100};
    duration max_retry_pause = std::chrono::seconds{2};
    duration refusal_retry_after = std::chrono::seconds{1};
    duration migration_margin = std::chrono::seconds{1}; ///< before a leaving endpoint is reclaimed
};

/// Dependencies of the request flows; all must outlive them.
struct serving_services {
    const serving_settings& settings;
    scheduler& time;
    random_source& random;
    event_log& log;
    metrics& counters;
    bundle_view& bundles;
    limiter& limits;
    router& routes;
    endpoint_directory& endpoints;
    endpoint_client& client;
    claim_service& claims;
    ledger& usage_ledger;
    stream_store& streams;
    hedge_policy& hedges;
};

} // namespace eelgrassbend

#endif
