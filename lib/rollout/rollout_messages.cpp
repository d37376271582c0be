#include "eelgrassbend/rollout/rollout_messages.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace eelgrassbend {

const char* phase_name(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::waiting:
        return "waiting";
    case rollout_phase::canary:
        return "canary";
    case rollout_phase::moving:
        return "moving";
    case rollout_phase::complete:
        return "complete";
    case rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

std::size_t slowness_bucket(double ratio)
{
    constexpr double buckets_per_doubling = 2.0;
    constexpr double min_ratio = 0.01;
    const double position =
        std::floor(buckets_per_doubling * std::log2(std::max(ratio, min_ratio)));
    const double last = static_cast<double>(slowness_counts{}.size() - 1);
    return static_cast<std::size_t>(
        std::clamp(position + static_cast<double>(normal_slowness), 0.0, last));
}

std::uint64_t version_totals::answers() const
{
    return std::accumulate(this->slowness.begin(), this->slowness.end(), std::uint64_t{0});
}

version_totals& version_totals::operator+=(const version_totals& other)
{
    this->requests += other.requests;
    this->failures += other.failures;
    for (std::size_t index = 0; index < this->slowness.size(); ++index) {
        this->slowness[index] += other.slowness[index];
    }
    return *this;
}

version_totals version_totals::since(const version_totals& earlier) const
{
    version_totals difference;
    difference.requests = this->requests - std::min(this->requests, earlier.requests);
    difference.failures = this->failures - std::min(this->failures, earlier.failures);
    for (std::size_t index = 0; index < this->slowness.size(); ++index) {
        difference.slowness[index] =
            this->slowness[index] - std::min(this->slowness[index], earlier.slowness[index]);
    }
    return difference;
}

route_totals sum_of_routes(const rollout_totals& totals)
{
    route_totals sum;
    for (const auto& [route, observed] : totals) {
        sum.target += observed.target;
        sum.base += observed.base;
    }
    return sum;
}

} // namespace eelgrassbend
