#include "routing_figures.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend::bench {

static constexpr double gap_bin = 0.25; // milliseconds

static double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

static double quantile(std::vector<double>& samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

void routing_figures::first_token(request_class size, duration elapsed, duration undisturbed)
{
    this->first_tokens.at(static_cast<std::size_t>(size)).push_back(milliseconds(elapsed));
    if (size == request_class::quick) {
        this->quick_waits.push_back(std::max(0.0, milliseconds(elapsed - undisturbed)));
    }
}

void routing_figures::between_tokens(duration gap)
{
    const auto bin = static_cast<std::size_t>(milliseconds(gap) / gap_bin);
    ++this->gaps[std::min(bin, gap_bins - 1)];
}

void routing_figures::completed(request_class size, bool within_target, duration elapsed,
                                std::int64_t tokens)
{
    this->tokens_within += within_target ? tokens : 0;
    ++this->whole;
    this->within += within_target ? 1 : 0;
    this->completions.at(static_cast<std::size_t>(size)).push_back(milliseconds(elapsed));
}

void routing_figures::refused(request_class size)
{
    ++this->refusals.at(static_cast<std::size_t>(size));
}

nlohmann::json routing_figures::to_json()
{
    std::vector<double> all;
    for (const auto& samples : this->first_tokens) {
        all.insert(all.end(), samples.begin(), samples.end());
    }
    const auto met = static_cast<double>(std::max<std::uint64_t>(1, this->within));
    constexpr double thousand = 1000.0;
    constexpr double million = 1'000'000.0;
    return {
        {"completed", this->whole},
        {"within_target", this->within},
        {"refused_quick", this->refusals[0]},
        {"refused_normal", this->refusals[1]},
        {"refused_long", this->refusals[2]},
        {"host_cost_per_1000", this->host_cost / met * thousand},
        {"slot_cost_per_1000", this->slot_cost / met * thousand},
        {"host_cost_per_million_tokens",
         this->host_cost * million /
             static_cast<double>(std::max<std::int64_t>(1, this->tokens_within))},
        {"recomputed_tokens_per_request", static_cast<double>(this->recomputed_tokens) / met},
        {"quick_wait_p50_ms", quantile(this->quick_waits, 0.5)},
        {"quick_wait_p99_ms", quantile(this->quick_waits, 0.99)},
        {"first_token_p50_ms", quantile(all, 0.5)},
        {"first_token_p99_ms", quantile(all, 0.99)},
        {"quick_completion_p99_ms", quantile(this->completions[0], 0.99)},
        {"between_tokens_p95_ms", this->gap_quantile(0.95)},
        {"hedges", this->hedges},
        {"retries", this->retries},
    };
}

double routing_figures::gap_quantile(double share) const
{
    std::uint64_t total = 0;
    for (const auto count : this->gaps) {
        total += count;
    }
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < gap_bins; ++bin) {
        seen += this->gaps[bin];
        if (static_cast<double>(seen) >= share * static_cast<double>(total)) {
            return static_cast<double>(bin + 1) * gap_bin;
        }
    }
    return static_cast<double>(gap_bins) * gap_bin;
}

} // namespace eelgrassbend::bench
