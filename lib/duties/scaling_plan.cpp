#include "eelgrassbend/duties/scaling_plan.h"

#include <algorithm>
#include <cmath>

namespace eelgrassbend {

/// Requests under way for which one engine is planned; with more, the prompts of some delay the
/// first tokens of others beyond their goal.
static constexpr double requests_per_endpoint = 9.0;
/// Reclaimable endpoints kept in each zone, whatever the load.
static constexpr int least_reclaimable = 2;

/// Zones from the cheapest to the dearest; those without a price come first.
static std::vector<availability_zone> by_price(const scaling_input& input)
{
    std::vector<availability_zone> zones;
    for (const auto& [zone, counts] : input.zones) {
        zones.push_back(zone);
    }
    const auto price = [&](const availability_zone& zone) {
        const auto found = input.limits.zone_prices.find(zone);
        return found == input.limits.zone_prices.end() ? 0.0 : found->second;
    };
    std::stable_sort(zones.begin(), zones.end(), [&](const auto& left, const auto& right) {
        return price(left) < price(right);
    });
    return zones;
}

/// Endpoints that the load needs in all.
static int needed_endpoints(const scaling_input& input)
{
    return static_cast<int>(std::ceil(input.concurrency / requests_per_endpoint)) + 1;
}

std::vector<scaling_order> plan_scaling(const scaling_input& input)
{
    const auto zones = by_price(input);
    const int zone_count = static_cast<int>(zones.size());
    if (zone_count == 0) {
        return {};
    }
    // With one zone lost, the others carry the load.
    const int needed = needed_endpoints(input);
    const int sharing = std::max(1, zone_count - 1);
    const int each = std::clamp((needed + sharing - 1) / sharing, least_reclaimable,
                                std::max(input.limits.most, input.limits.least));
    int present = 0;
    for (const auto& [zone, counts] : input.zones) {
        present += counts.reclaimable;
    }
    int missing = std::max(0, needed - present);
    std::vector<scaling_order> orders;
    for (const auto& zone : zones) {
        const auto& counts = input.zones.at(zone);
        // A zone has room for a limited number of both kinds together.
        const int room = std::max(0, input.limits.most - counts.reclaimable);
        const int least_left = input.limits.least - counts.reclaimable;
        const int on_demand = std::max(std::min(missing, room), least_left);
        const int reclaimable = std::min(each, input.limits.most - on_demand);
        missing -= std::min(missing, on_demand);
        orders.push_back({input.service, zone, true, reclaimable});
        orders.push_back({input.service, zone, false, on_demand});
    }
    return orders;
}

} // namespace eelgrassbend
