#ifndef EELGRASSBEND_ROUTING_DECISION_JSON_H
#define EELGRASSBEND_ROUTING_DECISION_JSON_H

#include "eelgrassbend/routing/router.h"

#include <nlohmann/json_fwd.hpp>

namespace eelgrassbend {

/// The fields of the event "route": the request, the choice and what it was based on. Times are
/// milliseconds, money is millionths of the currency unit.
nlohmann::json to_json(const route_request& request, const route_decision& decision);

/// The fields of the event "route" for a request that no endpoint took.
nlohmann::json to_json(const route_request& request, const error& refusal);

} // namespace eelgrassbend

#endif
