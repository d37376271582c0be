#ifndef EELGRASSBEND_ROUTING_LATENCY_MODEL_H
#define EELGRASSBEND_ROUTING_LATENCY_MODEL_H

#include "eelgrassbend/support/units.h"

#include <cstdint>

namespace eelgrassbend {

/// Learnt speed of an endpoint, or of all endpoints of a machine class.
class latency_model {
public:
    /// The prompt took `elapsed` for `tokens` tokens, those queued before it included.
    void add_prompt_sample(duration elapsed, std::int64_t tokens);
    /// One output token came `gap` after the one before it.
    void add_token_sample(duration gap);
    /// A first token came this much later than predicted; negative if earlier.
    void add_lateness_sample(duration lateness);

    /// Per uncached prompt token.
    [[nodiscard]] duration prompt_token_time() const { return this->prompt_time; }

    /// Between two output tokens of one request, over the last few tokens.
    [[nodiscard]] duration recent_token_time() const { return this->recent_time; }

    /// Between two output tokens of one request, over the last few hundred tokens.
    [[nodiscard]] duration token_time() const { return this->long_term_time; }

    /// How late first tokens are by now, in the mean of the last few.
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
