#include "eelgrassbend/limits/retry_budget.h"

#include <algorithm>

namespace eelgrassbend {

/// Fraction of the bounds that is used: windows slide, and nodes may restart within one.
static constexpr double used_fraction = 0.7;

void retry_budget::set_node_count(std::size_t count)
{
    this->node_count = std::max(1.0, static_cast<double>(count));
}

double retry_budget::max_level() const
{
    return this->bounds.slack * used_fraction / this->node_count;
}

double& retry_budget::level(const service_id& service)
{
    return this->levels.try_emplace(service, this->max_level()).first->second;
}

void retry_budget::earn(const service_id& service)
{
    double& left = this->level(service);
    left = std::min(this->max_level(), left + this->bounds.ratio * used_fraction);
}

bool retry_budget::spend(const service_id& service)
{
    double& left = this->level(service);
    if (left < 1.0) {
        return false;
    }
    left -= 1.0;
    return true;
}

} // namespace eelgrassbend
