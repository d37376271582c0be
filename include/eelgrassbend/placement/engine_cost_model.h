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

/// Time to prefill `tokens` on an engine with `running` requests.
inline milliseconds prefill_time(std::int64_t tokens, std::int32_t running)
{
    const double slowdown = 1.0 + slowdown_per_request * running;
    return milliseconds{slowdown * static_cast<double>(tokens) / prompt_tokens_per_ms};
}

/// Engine time that a request takes from other requests: its prefill, and its output tokens, which
/// slow down the prefill of other prompts.
inline milliseconds engine_time(std::int64_t uncached_prompt, std::int64_t output)
{
    return overhead + prefill_time(uncached_prompt, 0) +
           slowdown_per_request * static_cast<double>(output) * token_time;
}

} // namespace engine_cost_model

} // namespace eelgrassbend

#endif
