#include "eelgrassbend/duties/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Requests under way for which one engine is planned; with more, the prompts of some delay the
/// first tokens of others beyond their objective.
static constexpr double requests_per_endpoint = 5.0;
/// Reclaimable endpoints kept in each zone, whatever the load: a burst is there before a new one
/// has started.
static constexpr int least_reclaimable = 3;
/// Part of the need below which on-demand endpoints fill in for lost reclaimable ones. They cost
/// several times as much, and start about when the others come back.
static constexpr double filled_part = 0.4;

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
    std::sort(zones.begin(), zones.end(), [&](const auto& left, const auto& right) {
        return std::pair{price(left), left} < std::pair{price(right), right};
    });
    return zones;
}

/// Endpoints that the load needs in all.
static int needed_endpoints(const scaling_input& input)
{
    return static_cast<int>(std::ceil(input.concurrency / requests_per_endpoint)) + 1;
}

/// On-demand endpoints that are needed in all. Where there are no reclaimable ones at all, not yet
/// or because none are offered, on-demand ones carry everything.
static int missing_endpoints(const scaling_input& input, int needed)
{
    int present = 0;
    for (const auto& [zone, counts] : input.zones) {
        present += counts.reclaimable;
    }
    if (present == 0) {
        return std::max(needed, input.least_total);
    }
    return std::max(0, static_cast<int>(std::ceil(filled_part * needed)) - present);
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
    const int without_a_zone = (needed + sharing - 1) / sharing;
    const int at_first = (input.least_total + zone_count - 1) / zone_count;
    const int each = std::clamp(std::max(without_a_zone, at_first), least_reclaimable,
                                std::max(input.limits.most, least_reclaimable));
    int missing = missing_endpoints(input, needed);
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
