#ifndef EELGRASSBEND_BENCH_ROUTING_RUN_H
#define EELGRASSBEND_BENCH_ROUTING_RUN_H

#include "routing_fleet.h"
#include "routing_work.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbend::bench {

struct run_options {
    std::string policy;
    double load = 0.5;   ///< share of the fleet's capacity
    bool closed = false; ///< callers wait for their answer before they ask again
    std::uint32_t stragglers = 0;
    std::uint32_t nodes = 1;
    std::uint64_t seed = 1;
};

/// Puts the work through the engines by one policy under virtual time; answers the figures.
nlohmann::json run_routing(const routing_fleet& deployment, const std::vector<work_item>& work,
                           const run_options& options);

} // namespace eelgrassbend::bench

#endif
