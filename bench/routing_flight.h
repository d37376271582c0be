#ifndef EELGRASSBEND_BENCH_ROUTING_FLIGHT_H
#define EELGRASSBEND_BENCH_ROUTING_FLIGHT_H

#include "routing_work.h"

#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/routing/share_budget.h"

#include <optional>
#include <vector>

namespace eelgrassbend::bench {

/// One entry node.
struct entry_node {
    entry_node(std::uint64_t seed, const clock_source& clock, endpoint_directory& directory,
               const bundle_view& bundles)
        : random(seed), router(clock, random, directory, bundles), hedges(bundles)
    {
    }

    seeded_random random;
    service_router router;
    budgeted_hedge_policy hedges;
    share_budget retries;
    std::vector<std::uint64_t> next_event;
};

struct flight_attempt {
    attempt_id id;
    std::size_t engine = 0;
    bool alive = true;
};

/// One request on its way.
struct flight {
    const work_item* item = nullptr;
    entry_node* node = nullptr;
    route_request request;
    monotonic_time started;
    monotonic_time first;
    monotonic_time last;
    std::vector<flight_attempt> attempts;
    std::optional<std::size_t> winner;
    std::int64_t tokens = 0;
    std::int64_t reusable = 0; ///< prompt tokens that some engine had computed before
    bool counted = false;
    bool over = false;
};

} // namespace eelgrassbend::bench

#endif
