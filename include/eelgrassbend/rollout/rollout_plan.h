#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_PLAN_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_PLAN_H

#include "eelgrassbend/rollout/rollout_messages.h"
#include "eelgrassbend/settings/gateway_settings.h"

#include <string>

namespace eelgrassbend {

/// Input to the plan of one roll-out.
struct rollout_input {
    rollout_bounds bounds;
    duration length{};  ///< of the order
    duration elapsed{}; ///< since the order
    rollout_phase phase = rollout_phase::waiting;
    double share = 0.0;     ///< granted
    duration since_grant{}; ///< since the last change of the grant
    /// All observations since the order.
    rollout_totals totals;
    rollout_totals short_window; ///< of about the last second
    rollout_totals long_window;  ///< of some seconds
    /// Between the first and the last failure of the target; starts again after a pause.
    duration failing_for{};
    double request_rate = 0.0; ///< requests of the service per second
    int target_slots = 0;      ///< of the endpoints that accept requests
    int base_slots = 0;
    int base_running = 0; ///< requests at endpoints of other versions
};

/// What is to be granted next.
struct rollout_decision {
    rollout_phase phase = rollout_phase::waiting;
    double share = 0.0;
    std::string reason; ///< of a roll-back

    friend bool operator==(const rollout_decision&, const rollout_decision&) = default;
};

/// Decides on the next step of a roll-out. The target first gets a canary share, small enough to
/// leave most of the exposure bound for the end; then all new requests, as late as the bound
/// requires and the other versions' work allows. It is rolled back if its answers fail more often
/// or take longer than those of the other versions to requests of the same route in the same time.
rollout_decision plan_rollout(const rollout_input& input);

} // namespace eelgrassbend

#endif
