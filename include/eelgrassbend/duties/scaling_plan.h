#ifndef EELGRASSBEND_DUTIES_SCALING_PLAN_H
#define EELGRASSBEND_DUTIES_SCALING_PLAN_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/routes/routing_configuration.h"

#include <map>
#include <vector>

namespace eelgrassbend {

/// Endpoints of a service in one zone that are not leaving.
struct zone_endpoints {
    int on_demand = 0;
    int reclaimable = 0;
    bool is_sold_out =
        false; ///< more reclaimable ones were asked for lately, and none were to be had
};

/// What a plan for one service rests on.
struct scaling_input {
    service_id service;
    scaling_limits limits;
    double busy_engines = 0.0; ///< that the work which callers ask for keeps busy, smoothed
    int min_total = 0;         ///< endpoints to keep while the load is not known
    std::map<availability_zone, zone_endpoints> zones;
};

/// How many endpoints of each kind a service shall have in each zone. Answers the price of
/// endpoints against the loss of a zone's reclaimable ones: these cost a fraction, so enough of
/// them are kept that the load fits without any one zone, and on-demand endpoints only fill in
/// where far too few are left.
std::vector<scaling_order> plan_scaling(const scaling_input& input);

} // namespace eelgrassbend

#endif
