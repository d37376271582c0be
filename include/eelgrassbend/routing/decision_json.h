#ifndef EELGRASSBEND_ROUTING_DECISION_JSON_H
#define EELGRASSBEND_ROUTING_DECISION_JSON_H

#include "eelgrassbend/routing/router.h"

#include <nlohmann/json_fwd.hpp>

namespace eelgrassbend {

/// Fields of the "route" event: the request, the decision and its inputs. Times are in
/// milliseconds, money in millionths of the currency unit.
nlohmann::json to_json(const route_request& request, const route_decision& decision);

/// Fields of the "route" event for a request that was refused.
nlohmann::json to_json(const route_request& request, const error& refusal);

} // namespace eelgrassbend

#endif
