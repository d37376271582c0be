#ifndef EELGRASSBEND_SERVING_FORWARD_SERVICES_H
#define EELGRASSBEND_SERVING_FORWARD_SERVICES_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

namespace eelgrassbend {

class admission_controller;
class endpoint_client;
class endpoint_table;
class event_log;
class fleet_quota;
class forward_protocol;
class load_model;
class metrics;
class part_quarantine;
class placer;
class prompt_cache;
class random_source;
class retry_budget;
class rollout_table;
class run_migrator;
class scheduler;
class stream_origins;
class byte_budget;
class crash_detector;
class demand_tracker;
class engine_cost_estimator;
class usage_tracker;

struct forward_settings {
    /// A configuration unconfirmed for longer than this may miss the removal of a key. Must stay
    /// below the time limit for key removals minus the transit time of a request.
    duration configuration_staleness = std::chrono::milliseconds{4300};
    /// A configuration unconfirmed for longer than this may lack a route that was added; requests
    /// without a route are then refused as not run.
    duration missing_route_staleness = std::chrono::milliseconds{2500};
    /// Fraction of a request's objective for which it may wait for an endpoint with capacity.
    /// Callers refused that early can still meet their objective by retrying.
    double hold_fraction = 0.12;
    /// Fraction of the shortest stream objective of a service that a prompt may wait behind others
    /// at an engine, for the most urgent priority; each lower priority multiplies it by the second
    /// factor.
    double prompt_wait_fraction = 0.7;
    double prompt_wait_fraction_per_priority = 0.85;
    /// Between two searches for an endpoint with capacity.
    duration placement_retry_interval = std::chrono::milliseconds{15};
    /// Bounds of the retry-after time sent to refused callers.
    duration min_retry_after = std::chrono::milliseconds{100};
    duration max_retry_after = std::chrono::seconds{2};
    /// A repeatable request is retried at another endpoint if its first byte does not arrive within
    /// this multiple of the predicted time, clamped to these bounds.
    double first_byte_factor = 5.0;
    duration min_first_byte_timeout = std::chrono::milliseconds{150};
    duration max_first_byte_timeout = std::chrono::milliseconds{1500};
    /// A resumable stream is retried at another endpoint if no complete event arrives within the
    /// largest of these. They are half of what callers wait before they disconnect (2 s, 8 times
    /// the longest gap between events, 4 objectives).
    duration min_stall_timeout = std::chrono::milliseconds{1000};
    double stall_gap_factor = 4.0;
    double stall_objective_factor = 2.0;
    /// Time before the announced stop of an engine at which migrations start: enough for the two
    /// calls of a migration and one retry. The announcement is some hundred milliseconds old.
    duration migration_margin = std::chrono::milliseconds{1000};
};

/// Dependencies of the forwarding flows; all must outlive them.
struct forward_services {
    const forward_settings& settings;
    scheduler& time;
    random_source& random;
    event_log& log;
    metrics& counters;
    const forward_protocol& protocol;
    endpoint_client& client;
    endpoint_table& endpoints;
    load_model& loads;
    prompt_cache& cache;
    placer& places;
    fleet_quota& quotas;
    retry_budget& retries;
    usage_tracker& usage;
    run_migrator& migrator;
    byte_budget& answer_memory; ///< for answers that are buffered until complete
    demand_tracker& demand;
    part_quarantine& quarantine;
    crash_detector& crashes;
    engine_cost_estimator& costs;
    admission_controller& admission;
    stream_origins& origins;
    rollout_table* rollouts = nullptr; ///< null if the deployment has no roll-outs
};

} // namespace eelgrassbend

#endif
