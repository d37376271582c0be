#ifndef EELGRASSBEND_ROUTING_PACE_MODEL_H
#define EELGRASSBEND_ROUTING_PACE_MODEL_H

#include "eelgrassbend/support/units.h"

#include <cstdint>

namespace eelgrassbend {

/// Learnt speed of an endpoint, or of all endpoints of a machine class.
class pace_model {
public:
    /// The prompt took `elapsed` for `tokens` tokens, those queued before it included.
    void prompt_took(duration elapsed, std::int64_t tokens);
    /// One output token came `gap` after the one before it.
    void token_came(duration gap);
    /// A first token came this much later than predicted; negative if earlier.
    void first_token_late(duration lateness);

    /// Per uncached prompt token.
    [[nodiscard]] duration prompt_token_time() const { return this->prompt_time; }

    /// Between two output tokens of one request, over the last few tokens.
    [[nodiscard]] duration recent_token_time() const { return this->recent_time; }

    /// Between two output tokens of one request, over the last few hundred tokens.
    [[nodiscard]] duration token_time() const { return this->steady_time; }

    /// How late first tokens are by now, in the mean of the last few.
    [[nodiscard]] duration lateness() const { return this->late_by; }

    [[nodiscard]] std::uint64_t tokens_seen() const { return this->token_samples; }

    [[nodiscard]] std::uint64_t prompts_seen() const { return this->prompt_samples; }

private:
    duration prompt_time = std::chrono::microseconds{300};
    duration recent_time = std::chrono::milliseconds{30};
    duration steady_time = std::chrono::milliseconds{30};
    duration late_by{};
    std::uint64_t prompt_samples = 0;
    std::uint64_t token_samples = 0;
};

} // namespace eelgrassbend

#endif
