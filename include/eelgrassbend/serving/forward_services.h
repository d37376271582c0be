#ifndef EELGRASSBEND_SERVING_FORWARD_SERVICES_H
#define EELGRASSBEND_SERVING_FORWARD_SERVICES_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

namespace eelgrassbend {

class endpoint_client;
class endpoint_table;
class event_log;
class fleet_quota;
class forward_protocol;
class load_model;
class metrics;
class placer;
class prompt_cache;
class random_source;
class retry_budget;
class run_migrator;
class scheduler;
class byte_budget;
class demand_tracker;
class usage_board;

struct forward_settings {
    /// A configuration that was not confirmed for so long may miss the removal of a key. Below
    /// the bound for removals, less the time of a request on its way here.
    duration configuration_staleness = std::chrono::milliseconds{4300};
    /// Part of a request's objective for which it may wait here for an endpoint with room; callers
    /// lose nothing by a refusal that comes that early.
    double hold_fraction = 0.12;
    /// Part of the shortest objective of a service's streams that a prompt may wait at an engine
    /// behind others, for the most urgent requests, and what is left of it with each priority.
    double prompt_wait_fraction = 0.7;
    double prompt_wait_fraction_per_priority = 0.85;
    /// Between two looks for an endpoint with room.
    duration placement_retry_interval = std::chrono::milliseconds{15};
    /// Least and most time that a refused caller is asked to wait.
    duration min_retry_after = std::chrono::milliseconds{100};
    duration max_retry_after = std::chrono::seconds{2};
    /// Time for which a request that may be repeated waits for its first byte before it goes
    /// elsewhere: a multiple of the prediction, within these bounds.
    double first_byte_factor = 5.0;
    duration min_first_byte_timeout = std::chrono::milliseconds{150};
    duration max_first_byte_timeout = std::chrono::milliseconds{1500};
    /// Time without a whole event after which a stream that may go on elsewhere does: the largest
    /// of these, half of what callers wait before they leave (2 s, 8 longest pauses between
    /// events, 4 objectives).
    duration min_stall_timeout = std::chrono::milliseconds{1000};
    double stall_gap_factor = 4.0;
    double stall_objective_factor = 2.0;
    /// Before the announced end of an engine: for a move with its two calls and a second try. The
    /// announcement is some hundred milliseconds old.
    duration migration_margin = std::chrono::milliseconds{1000};
};

/// What the forwarding flows need; all outlive them.
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
    usage_board& usage;
    run_migrator& migrator;
    byte_budget& answer_memory; ///< for answers that are passed on once they are whole
    demand_tracker& demand;
};

} // namespace eelgrassbend

#endif
