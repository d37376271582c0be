#include "eelgrassbend/routing/pace_model.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

// Weights of a new sample; the first samples weigh more, so that defaults are soon forgotten.
constexpr double prompt_weight = 0.1;
constexpr double recent_weight = 0.3;
constexpr double steady_weight = 0.005;
/// Prompts shorter than this say more about the network than about the endpoint.
constexpr std::int64_t shortest_prompt_sample = 32;

} // namespace

static void learn(duration& mean, duration sample, double weight, std::uint64_t samples)
{
    const double used = std::max(weight, 1.0 / (static_cast<double>(samples) + 1.0));
    const auto change = static_cast<double>((sample - mean).count()) * used;
    mean += duration{static_cast<duration::rep>(change)};
}

void pace_model::prompt_took(duration elapsed, std::int64_t tokens)
{
    if (tokens < shortest_prompt_sample) {
        return;
    }
    learn(this->prompt_time, elapsed / tokens, prompt_weight, this->prompt_samples);
    ++this->prompt_samples;
}

void pace_model::token_came(duration gap)
{
    learn(this->recent_time, gap, recent_weight, this->token_samples);
    learn(this->steady_time, gap, steady_weight, this->token_samples);
    ++this->token_samples;
}

void pace_model::first_token_late(duration lateness)
{
    constexpr std::int64_t newest_share = 4;
    this->late_by += (std::max(lateness, duration::zero()) - this->late_by) / newest_share;
}

} // namespace eelgrassbend
