#include "eelgrassbend/limits/load_shedder.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Utilisation from which the lowest priority is shed, and at which all but the highest are.
constexpr double shed_lowest_from = 0.90;
constexpr double shed_all_lower_at = 1.0;

} // namespace

bool should_shed(double utilisation, std::int32_t priority, const std::vector<std::int32_t>& levels)
{
    if (levels.size() < 2 || priority >= levels.back()) {
        return false;
    }
    // The lower levels divide the range evenly; the lowest one is shed first.
    const auto rank = std::ranges::upper_bound(levels, priority) - levels.begin();
    const auto position = static_cast<double>(std::max<std::ptrdiff_t>(0, rank - 1));
    const auto lower_levels = static_cast<double>(levels.size() - 1);
    const double width = (shed_all_lower_at - shed_lowest_from) / lower_levels;
    return utilisation >= shed_lowest_from + position * width;
}

} // namespace eelgrassbend
