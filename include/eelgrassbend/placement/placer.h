#ifndef EELGRASSBEND_PLACEMENT_PLACER_H
#define EELGRASSBEND_PLACEMENT_PLACER_H

#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/placement/engine_cost_estimator.h"
#include "eelgrassbend/placement/load_model.h"
#include "eelgrassbend/placement/prompt_cache.h"
#include "eelgrassbend/placement/version_filter.h"
#include "eelgrassbend/routes/routing_configuration.h"
#include "eelgrassbend/support/random_source.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Properties of a request that are known before it runs.
struct placement_request {
    service_id service;
    std::vector<prompt_part> parts; ///< in order; the last one is the request's own
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0; ///< expected
    /// Maximum wait behind prompts that an engine has yet to prefill; empty: no limit.
    std::optional<duration> max_wait;
    /// Share of an endpoint's slots up to which the request may be placed there; empty: the slots
    /// and a short queue.
    std::optional<double> max_slot_share;
    /// Whether the choice uses what all nodes of the group have learned of the engines' speed, and
    /// a second preferred engine.
    bool shares_load = false;
    std::set<endpoint_id> excluded; ///< already tried
    version_filter versions;
};

struct placement {
    endpoint_id endpoint;
    network_address address;
    work_estimate work;
    duration predicted{}; ///< until the first byte
    std::int64_t cached_tokens = 0;
    double slowdown = 1.0;
    endpoint_work load; ///< of all nodes there, before this request
    std::size_t candidate_count = 0;
};

/// Why no endpoint can take a request now.
enum class placement_failure {
    no_endpoint,
    all_full,
    unchecked, ///< the only endpoints are being checked
};

/// A placement or the reason why there is none.
struct placement_answer {
    std::optional<placement> chosen;
    placement_failure reason = placement_failure::no_endpoint;
    /// Time until the least loaded endpoint may have capacity; set with `all_full`.
    duration wait{};
};

/// Chooses the endpoint with the earliest predicted first byte. Engines prefill long prompts
/// between the output tokens of other requests, so prompts are spread by the number of tokens that
/// each engine has yet to prefill. Requests that share prompt parts go to the engine that caches
/// them, as long as the wait there is shorter than the repeated prefill. Many nodes that choose at
/// the same time from the same digests would all select the same endpoint; therefore each node
/// compares a sample that shrinks with the number of nodes.
class placer {
public:
    placer(const endpoint_table& endpoints, load_model& loads, prompt_cache& cache,
           const engine_cost_estimator& learned, random_source& random, availability_zone own_zone);

    [[nodiscard]] placement_answer choose(const placement_request& request,
                                          const std::optional<engine_traits>& engine,
                                          monotonic_time now) const;

private:
    struct candidate;

    /// Inputs and intermediate results of one choice.
    struct choice_state;

    void evaluate_all(const std::vector<const known_endpoint*>& subset, choice_state& state) const;
    [[nodiscard]] candidate evaluate(const known_endpoint& endpoint,
                                     const choice_state& state) const;
    void evaluate_engine(const known_endpoint& endpoint, const choice_state& state,
                         candidate& evaluated) const;
    /// Moves the sampled endpoints to the front and returns their number.
    std::size_t sample(std::vector<const known_endpoint*>& usable, const choice_state& state) const;

    const endpoint_table& endpoints;
    load_model& loads;
    prompt_cache& cache;
    const engine_cost_estimator& learned; ///< used for slot-bound services
    random_source& random;
    availability_zone own_zone;
};

} // namespace eelgrassbend

#endif
