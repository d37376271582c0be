#include "eelgrassbend/routing/latency_model.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

// Weights of a new sample. The first samples weigh more, so that defaults are soon replaced.
constexpr double prompt_weight = 0.1;
constexpr double recent_weight = 0.3;
constexpr double long_term_weight = 0.005;
/// The time of shorter prompts is dominated by the network instead of the endpoint.
constexpr std::int64_t min_prompt_sample_tokens = 32;

} // namespace

static void update_mean(duration& mean, duration sample, double weight, std::uint64_t samples)
{
    const double effective_weight = std::max(weight, 1.0 / (static_cast<double>(samples) + 1.0));
    const auto change = static_cast<double>((sample - mean).count()) * effective_weight;
    mean += duration{static_cast<duration::rep>(change)};
}

void latency_model::add_prompt_sample(duration elapsed, std::int64_t tokens)
{
    if (tokens < min_prompt_sample_tokens) {
        return;
    }
    update_mean(this->prompt_time, elapsed / tokens, prompt_weight, this->prompt_samples);
    ++this->prompt_samples;
}

void latency_model::add_token_sample(duration gap)
{
    update_mean(this->recent_time, gap, recent_weight, this->token_samples);
    update_mean(this->long_term_time, gap, long_term_weight, this->token_samples);
    ++this->token_samples;
}

void latency_model::add_lateness_sample(duration lateness)
{
    constexpr std::int64_t lateness_samples = 4;
    this->mean_lateness +=
        (std::max(lateness, duration::zero()) - this->mean_lateness) / lateness_samples;
}

} // namespace eelgrassbend
