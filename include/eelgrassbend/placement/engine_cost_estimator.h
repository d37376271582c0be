#ifndef EELGRASSBEND_PLACEMENT_ENGINE_COST_ESTIMATOR_H
#define EELGRASSBEND_PLACEMENT_ENGINE_COST_ESTIMATOR_H

#include "eelgrassbend/placement/engine_cost_model.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>

namespace eelgrassbend {

/// The first byte of an attempt at an engine.
struct first_byte_sample {
    std::int64_t waiting_prompt = 0;  ///< tokens known to be ahead when it was sent
    std::int64_t uncached_prompt = 0; ///< its own tokens to prefill, estimated
    std::int32_t running = 0;         ///< other requests at the engine
    double slowdown = 1.0;            ///< reported by the engine with the answer
    duration taken{};
    int reported_waiting = 0; ///< requests without a slot, reported by the engine with the answer
};

/// A complete answer of an engine.
struct answer_sample {
    std::int64_t output_tokens = 0; ///< expected when it was sent
    duration taken{};               ///< from its first byte to its end
};

/// Learns what a request costs at the engines of each service from the attempts of this node.
/// Engines of a service are taken to be alike: a minority of slow hosts and single late answers
/// have little influence. Without attempts, the constants of `engine_cost_model` are returned.
class engine_cost_estimator {
public:
    void record_first_byte(const service_id& service, const first_byte_sample& sample);
    void record_answer(const service_id& service, const answer_sample& sample);

    [[nodiscard]] engine_costs costs(const service_id& service) const;

private:
    struct service_state {
        engine_costs costs;
        int first_bytes = 0;
        double output_tokens = 0.0; ///< weighted sums over recent answers
        double output_ms = 0.0;
    };

    std::map<service_id, service_state> services;
};

} // namespace eelgrassbend

#endif
