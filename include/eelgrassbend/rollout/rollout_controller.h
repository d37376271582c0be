#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_CONTROLLER_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_CONTROLLER_H

#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/load_model.h"
#include "eelgrassbend/rollout/rollout_evidence.h"
#include "eelgrassbend/rollout/rollout_plan.h"
#include "eelgrassbend/rollout/rollout_protocol.h"
#include "eelgrassbend/rollout/rollout_table.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/repeating_timer.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace eelgrassbend {

/// Dependencies of a `rollout_controller`; all outlive it.
struct rollout_dependencies {
    record_store& store;
    scheduler& time;
    event_log& log;
    metrics& counters;
    const duty_lease& lease;
    const endpoint_table& endpoints;
    const load_model& loads;
    const rollout_protocol& protocol;
    rollout_table& table;
    rollout_evidence& evidence;
};

/// Runs the roll-outs while this node holds the duty lease. The state of each is a record in the
/// store, appended only if no other record was written since the last read; a grant takes effect
/// after its record is written. A roll-back takes effect at once. Does nothing without an order.
class rollout_controller {
public:
    rollout_controller(const rollout_dependencies& dependencies, rollout_bounds bounds);

    void start();

    /// Topic of the records; one key for each service.
    static store_topic topic() { return {"rollouts", true}; }

private:
    /// The roll-out of one service.
    struct run_state {
        rollout_grant recorded;            ///< in the store, if `has_record`
        std::optional<rollout_grant> next; ///< to be recorded
        bool has_record = false;
        std::string reason;                    ///< of a roll-back
        std::optional<rollout_phase> reported; ///< in the status record
        monotonic_time granted_at;
        monotonic_time observed_from;
        std::optional<monotonic_time> failing_since; ///< failures of the target
        monotonic_time failed_at;                    ///< the latest one
        std::deque<std::pair<monotonic_time, rollout_totals>> history;
    };

    void tick();
    void read_records(const std::string& after);
    void handle_page(const result<newest_page>& page);
    run_state begin_run(const known_rollout& rollout, monotonic_time now);
    void update_run(const known_rollout& rollout, run_state& run, monotonic_time now);
    static void update_failures(run_state& run, const rollout_totals& totals, monotonic_time now);
    void decide(const known_rollout& rollout, run_state& run, monotonic_time now);
    [[nodiscard]] rollout_input make_input(const known_rollout& rollout, const run_state& run,
                                           monotonic_time now) const;
    void add_endpoints(const known_rollout& rollout, rollout_input& input) const;
    [[nodiscard]] std::size_t canary_endpoints(const known_rollout& rollout, double share) const;
    void write_record(const known_rollout& rollout, const run_state& run);
    void handle_recorded(const rollout_grant& written, const result<append_answer>& answer);
    void delete_record(const service_id& service);
    void write_status(const known_rollout& rollout, const run_state& run);
    void log_step(const run_state& run);

    rollout_dependencies dependencies;
    rollout_bounds bounds;
    callback_scope scope;
    repeating_timer timer;
    std::optional<fencing_token> token; ///< under which the records were read
    bool has_records = false;
    bool is_call_in_flight = false;
    bool is_status_in_flight = false;
    std::optional<log_offset> end; ///< of the records' topic
    std::map<service_id, rollout_grant> records;
    std::map<service_id, run_state> runs;
};

} // namespace eelgrassbend

#endif
