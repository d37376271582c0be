#include "eelgrassbend/placement/engine_cost_estimator.h"

#include <algorithm>
#include <cmath>

namespace eelgrassbend {

using engine_cost_model::milliseconds;

/// Step of the estimates per sample, as a share of them. The first samples count more, so that an
/// engine of twice the assumed speed is recognised within a second or two of traffic.
static constexpr double initial_step = 0.15;
static constexpr double final_step = 0.015;
/// The estimates follow this quantile of the first-byte times. It is below the median because work
/// that other nodes sent in the last moments, and slow hosts, only lengthen the time.
static constexpr double quantile = 0.4;
/// Relative error from which a sample has its full influence. Greater errors count no more, so that
/// late answers do not dominate.
static constexpr double full_error = 0.15;
/// Bounds of the estimates relative to the constants.
static constexpr double min_ratio = 0.4;
static constexpr double max_ratio = 6.0;
/// Weight of the prior in the time per output token, in tokens; about five short answers.
static constexpr double prior_output_tokens = 1'000.0;
/// Share of the sums that a new answer replaces: about the last 200 answers count.
static constexpr double answer_weight = 0.005;
/// An answer counts as at most this multiple of the time that its output is expected to take.
static constexpr double max_answer_ratio = 4.0;

static double bounded(double value, double prior)
{
    return std::clamp(value, min_ratio * prior, max_ratio * prior);
}

// A stochastic subgradient step towards the quantile of the relative error. The prefill rate and
// the overhead take the part of the error that corresponds to their part of the predicted time, so
// short prompts determine the overhead and long ones the rate.
void engine_cost_estimator::record_first_byte(const service_id& service,
                                              const first_byte_sample& sample)
{
    const milliseconds taken = milliseconds{sample.taken} / std::max(1.0, sample.slowdown);
    // With more work ahead than of its own, or with requests that wait for a slot, the sample
    // mostly shows the load of the engine. An estimate that follows overload would refuse more
    // requests.
    if (taken.count() <= 0.0 || sample.waiting_prompt > sample.uncached_prompt ||
        sample.reported_waiting > 0) {
        return;
    }
    auto& state = this->services[service];
    auto& costs = state.costs;
    const auto prefill = engine_cost_model::prefill_time(
        sample.waiting_prompt + sample.uncached_prompt, sample.running, costs);
    const auto predicted = prefill + costs.overhead;
    const double error = (taken - predicted) / predicted;
    const double pull = std::clamp(error / full_error, -1.0, 1.0);
    const double weighted = pull > 0.0 ? 2.0 * quantile * pull : 2.0 * (1.0 - quantile) * pull;
    const double step =
        std::max(final_step, initial_step / std::sqrt(++state.first_bytes)) * weighted;
    const double prefill_share = prefill / predicted;
    const engine_costs prior;
    costs.prompt_tokens_per_ms = bounded(
        costs.prompt_tokens_per_ms * std::exp(-step * prefill_share), prior.prompt_tokens_per_ms);
    costs.overhead = milliseconds{bounded(
        costs.overhead.count() * std::exp(step * (1.0 - prefill_share)), prior.overhead.count())};
}

// A mean and not a quantile: slots at slow hosts are indeed held longer.
void engine_cost_estimator::record_answer(const service_id& service, const answer_sample& sample)
{
    if (sample.output_tokens <= 0) {
        return;
    }
    auto& state = this->services[service];
    const auto tokens = static_cast<double>(sample.output_tokens);
    const double longest = max_answer_ratio * tokens * state.costs.token_time.count();
    const double taken = std::min(milliseconds{sample.taken}.count(), longest);
    state.output_tokens += tokens - answer_weight * state.output_tokens;
    state.output_ms += taken - answer_weight * state.output_ms;
    const double prior = engine_costs{}.token_time.count();
    state.costs.token_time = milliseconds{bounded((prior_output_tokens * prior + state.output_ms) /
                                                      (prior_output_tokens + state.output_tokens),
                                                  prior)};
}

engine_costs engine_cost_estimator::costs(const service_id& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? engine_costs{} : found->second.costs;
}

} // namespace eelgrassbend
