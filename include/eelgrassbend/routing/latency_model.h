#ifndef EELGRASSBEND_ROUTING_LATENCY_MODEL_H
#define EELGRASSBEND_ROUTING_LATENCY_MODEL_H

#include "eelgrassbend/support/units.h"

#include <cstdint>

namespace eelgrassbend {

/// Measured latencies of an endpoint, or of all endpoints of a machine class.
class latency_model {
public:
    /// Adds a prompt that took `elapsed` for `tokens` tokens, including those queued before it.
    void add_prompt_sample(duration elapsed, std::int64_t tokens);
    /// Adds an output token received `gap` after the previous one.
    void add_token_sample(duration gap);
    /// Adds the delay of a first token against its prediction; negative if it was early.
    void add_lateness_sample(duration lateness);

    /// Processing time per uncached prompt token.
    [[nodiscard]] duration prompt_token_time() const { return this->prompt_time; }

    /// Mean time between two output tokens of one request, over the last few tokens.
    [[nodiscard]] duration recent_token_time() const { return this->recent_time; }

    /// Mean time between two output tokens of one request, over the last few hundred tokens.
    [[nodiscard]] duration token_time() const { return this->long_term_time; }

    /// Mean delay of the last few first tokens against their prediction.
    [[nodiscard]] duration lateness() const { return this->mean_lateness; }

    [[nodiscard]] std::uint64_t token_sample_count() const { return this->token_samples; }

    [[nodiscard]] std::uint64_t prompt_sample_count() const { return this->prompt_samples; }

private:
    duration prompt_time = std::chrono::microseconds{300};
    duration recent_time = std::chrono::milliseconds{30};
    duration long_term_time = std::chrono::milliseconds{30};
    duration mean_lateness{};
    std::uint64_t prompt_samples = 0;
    std::uint64_t token_samples = 0;
};

} // namespace eelgrassbend

#endif
