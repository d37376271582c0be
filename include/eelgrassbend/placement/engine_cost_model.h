#ifndef EELGRASSBEND_PLACEMENT_ENGINE_COST_MODEL_H
#define EELGRASSBEND_PLACEMENT_ENGINE_COST_MODEL_H

#include <chrono>
#include <cstdint>

namespace eelgrassbend {

/// What a model engine's work takes before anything is learnt of it; the slowdown that is observed
/// at each engine corrects it. Placement and scaling reckon by the same figures.
namespace engine_cost_model {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Prompt tokens that an engine reads in a millisecond. From the users' sheets: 56.9 to 61.2 with
/// nothing else running.
inline constexpr double prompt_tokens_per_ms = 50.0;
/// Share of the reading speed that each running request takes with its own tokens; from the
/// sheets, 0.102 ms of a step of 18 ms that reads 1,024 tokens.
inline constexpr double slowdown_per_request = 0.0057;
/// From a request's arrival at an idle engine to its first byte.
inline constexpr milliseconds overhead{16.0};
/// Time of one output token among others; a step without long prompts.
inline constexpr milliseconds token_time{14.0};

/// Time for which an engine with `running` requests reads `tokens`.
inline milliseconds prefill_time(std::int64_t tokens, std::int32_t running)
{
    const double slowdown = 1.0 + slowdown_per_request * running;
    return milliseconds{slowdown * static_cast<double>(tokens) / prompt_tokens_per_ms};
}

/// Time of an engine that a request takes from others: for its prompt, and for its tokens, which
/// slow down the reading of other prompts.
inline milliseconds engine_time(std::int64_t uncached_prompt, std::int64_t output)
{
    return overhead + prefill_time(uncached_prompt, 0) +
           slowdown_per_request * static_cast<double>(output) * token_time;
}

} // namespace engine_cost_model

} // namespace eelgrassbend

#endif
