#ifndef EELGRASSBEND_ROUTING_PREDICTION_H
#define EELGRASSBEND_ROUTING_PREDICTION_H

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/service_table.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>

namespace eelgrassbend {

/// Predicted latency and cost of a request at an endpoint.
struct prediction {
    duration first_token{}; ///< from dispatch, including waits
    duration slot_wait{};   ///< part of `first_token` spent waiting for a slot
    duration delay{};       ///< part of `first_token` caused by other requests
    duration token_time{};  ///< between two output tokens
    duration completion{};  ///< from dispatch to the last token
    money cost;             ///< host cost for the time that the request occupies a slot
    std::int64_t cached_tokens = 0;
    std::int64_t prompt_work = 0; ///< prompt tokens to process, including those queued before
};

prediction predict(const service_table& table, endpoint_index index, const route_request& request);

} // namespace eelgrassbend

#endif
