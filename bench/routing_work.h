#ifndef EELGRASSBEND_BENCH_ROUTING_WORK_H
#define EELGRASSBEND_BENCH_ROUTING_WORK_H

#include "routing_fleet.h"

#include "eelgrassbend/engine_model/prompt.h"
#include "eelgrassbend/routing/router.h"

#include <cstdint>
#include <vector>

namespace eelgrassbend::bench {

/// One request, the same for every policy.
struct work_item {
    route_request request;
    engine_prompt prompt;
    token_count answer;     ///< true length, which nobody knows beforehand
    double arrival = 0.0;   ///< seconds from the start at a rate of one request a second
    std::uint32_t node = 0; ///< at which the caller arrives, before the modulus
};

/// `count` requests with prefixes shared in an organisation and in a conversation, and
/// heavy-tailed sizes.
std::vector<work_item> make_work(const routing_fleet& deployment, std::size_t count,
                                 std::uint64_t seed);

/// Requests of this mix that the whole fleet completes in a second with full batches, if the
/// prompt shared by an organisation is cached everywhere and nothing else is.
double fleet_capacity(const routing_fleet& deployment, const std::vector<work_item>& work);

} // namespace eelgrassbend::bench

#endif
