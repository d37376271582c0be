#ifndef EELGRASSBEND_PLACEMENT_ENGINE_COST_MODEL_H
#define EELGRASSBEND_PLACEMENT_ENGINE_COST_MODEL_H

#include <chrono>
#include <cstdint>

namespace eelgrassbend {

/// Estimates the time that a model engine needs for its work. The slowdown observed at each engine
/// corrects the estimates. Placement and scaling use the same figures.
namespace engine_cost_model {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Prefill rate of an engine. The users' data sheets state 56.9 to 61.2 on an idle engine.
inline constexpr double prompt_tokens_per_ms = 50.0;
/// Share of the prefill rate that each running request takes by decoding. The users' data sheets
/// state 0.102 ms of an 18 ms step that prefills 1,024 tokens.
inline constexpr double slowdown_per_request = 0.0057;
/// Time from the arrival of a request at an idle engine to its first byte, without prefill.
inline constexpr milliseconds overhead{16.0};
/// Time per output token in a batch: a step without prefill of long prompts.
inline constexpr milliseconds token_time{14.0};

} // namespace engine_cost_model

/// What requests cost at the engines of a service; by default the constants.
struct engine_costs {
    double prompt_tokens_per_ms = engine_cost_model::prompt_tokens_per_ms;
    engine_cost_model::milliseconds overhead = engine_cost_model::overhead;
    engine_cost_model::milliseconds token_time = engine_cost_model::token_time;
};

namespace engine_cost_model {

/// Time to prefill `tokens` on an engine with `running` requests.
inline milliseconds prefill_time(std::int64_t tokens, std::int32_t running,
                                 const engine_costs& costs = {})
{
    const double slowdown = 1.0 + slowdown_per_request * running;
    return milliseconds{slowdown * static_cast<double>(tokens) / costs.prompt_tokens_per_ms};
}

/// Engine time that a request takes from other requests: its prefill, and its output tokens, which
/// slow down the prefill of other prompts.
inline milliseconds engine_time(std::int64_t uncached_prompt, std::int64_t output)
{
    return overhead + prefill_time(uncached_prompt, 0) +
           slowdown_per_request * static_cast<double>(output) * token_time;
}

/// The same with learned costs. A learned overhead includes network latency and waits for a batch,
/// which take no time from other requests, so it is left out.
inline milliseconds learned_engine_time(std::int64_t uncached_prompt, std::int64_t output,
                                        const engine_costs& costs)
{
    return prefill_time(uncached_prompt, 0, costs) +
           slowdown_per_request * static_cast<double>(output) * costs.token_time;
}

/// Time for which a request holds a slot of an engine that is not overloaded.
inline milliseconds slot_time(std::int64_t uncached_prompt, std::int64_t output,
                              const engine_costs& costs)
{
    return costs.overhead + prefill_time(uncached_prompt, 0, costs) +
           static_cast<double>(output) * costs.token_time;
}

} // namespace engine_cost_model

} // namespace eelgrassbend

#endif
