#ifndef EELGRASSBEND_DUTIES_SLOT_SCALING_PLAN_H
#define EELGRASSBEND_DUTIES_SLOT_SCALING_PLAN_H

#include "eelgrassbend/duties/scaling_plan.h"

namespace eelgrassbend {

/// Input to the scaling plan of a slot-bound service.
struct slot_scaling_input {
    service_id service;
    scaling_limits limits;
    double busy_engines = 0.0; ///< engines kept busy by the requested work
    double busy_slots = 0.0;   ///< slots occupied by the requested work
    int slots_per_engine = 1;
    int min_total = 0; ///< endpoints to keep while the load is unknown
    std::map<availability_zone, zone_endpoints> zones;
};

/// What limits the number of endpoints of a plan.
enum class scaling_reason { minimum, initial, engine_time, slots };

const char* to_string(scaling_reason reason);

struct slot_scaling_plan {
    int present_need = 0; ///< endpoints for the present load
    int burst_need = 0;   ///< endpoints for a burst after the loss of a zone
    scaling_reason reason = scaling_reason::minimum;
    std::vector<scaling_order> orders;
};

/// Plans reclaimable endpoints for a burst with one zone lost, since a burst arrives faster than an
/// endpoint boots. Zones that offer none are replaced by the others. On-demand endpoints are
/// planned only for the part of the present load that the registered reclaimable ones do not carry.
slot_scaling_plan plan_slot_scaling(const slot_scaling_input& input);

} // namespace eelgrassbend

#endif
