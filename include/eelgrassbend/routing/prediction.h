#ifndef EELGRASSBEND_ROUTING_PREDICTION_H
#define EELGRASSBEND_ROUTING_PREDICTION_H

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/service_table.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>

namespace eelgrassbend {

/// What is expected of a request on an endpoint.
struct prediction {
    duration first_token{}; ///< from dispatch; waits included
    duration slot_wait{};   ///< part of `first_token` before a slot is free
    duration delay{};       ///< part of `first_token` that is due to other requests
    duration token_time{};  ///< between two output tokens
    duration completion{};  ///< from dispatch to the last token
    money cost;             ///< of the host for the time that the request occupies a slot
    std::int64_t cached_tokens = 0;
    std::int64_t prompt_work = 0; ///< prompt tokens to be processed, those queued before included
};

prediction predict(const service_table& table, endpoint_index index, const route_request& request);

} // namespace eelgrassbend

#endif
