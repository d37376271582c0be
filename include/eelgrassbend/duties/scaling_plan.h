#ifndef EELGRASSBEND_DUTIES_SCALING_PLAN_H
#define EELGRASSBEND_DUTIES_SCALING_PLAN_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/routes/routing_configuration.h"

#include <map>
#include <vector>

namespace eelgrassbend {

/// Endpoints of a service in one zone that are not draining.
struct zone_endpoints {
    int on_demand = 0;
    int reclaimable = 0;
    bool is_sold_out = false; ///< a recent order for more reclaimable endpoints was not met
};

/// Input to the scaling plan of one service.
struct scaling_input {
    service_id service;
    scaling_limits limits;
    double busy_engines = 0.0; ///< engines kept busy by the requested work, smoothed
    int min_total = 0;         ///< endpoints to keep while the load is unknown
    std::map<availability_zone, zone_endpoints> zones;
};

/// Computes the number of endpoints of each kind for each zone of a service. Weighs the price of
/// endpoints against the loss of a zone's reclaimable ones. Reclaimable endpoints cost a fraction
/// of on-demand ones, so the plan holds enough of them to carry the load without any single zone.
/// On-demand endpoints only fill in where far too few reclaimable ones are left.
std::vector<scaling_order> plan_scaling(const scaling_input& input);

} // namespace eelgrassbend

#endif
