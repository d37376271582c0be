#include "eelgrassbend/duties/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Planned utilization of an engine; above it, prompts wait behind others longer than their
/// objective allows.
static constexpr double planned_utilization = 0.6;
/// Minimum of reclaimable endpoints per zone at any load: a burst arrives before a new endpoint has
/// started.
static constexpr int min_reclaimable_per_zone = 3;
/// Share of the needed endpoints below which on-demand endpoints replace lost reclaimable ones.
/// They cost several times as much and start at about the time when reclaimable ones return, unless
/// none of those are available.
static constexpr double on_demand_fill_share = 0.4;
static constexpr double on_demand_fill_share_sold_out = 0.8;

/// Zones in order of ascending price; zones without a price come first.
static std::vector<availability_zone> zones_by_price(const scaling_input& input)
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

/// Total number of endpoints that the load needs.
static int needed_endpoints(const scaling_input& input)
{
    return static_cast<int>(std::ceil(input.busy_engines / planned_utilization)) + 1;
}

/// Total number of on-demand endpoints that are needed. Without any reclaimable endpoints, because
/// none have started yet or none are offered, on-demand endpoints carry the whole load.
static int needed_on_demand(const scaling_input& input, int needed)
{
    int reclaimable = 0;
    bool is_sold_out = false;
    for (const auto& [zone, counts] : input.zones) {
        reclaimable += counts.reclaimable;
        is_sold_out = is_sold_out || counts.is_sold_out;
    }
    if (reclaimable == 0) {
        return std::max(needed, input.min_total);
    }
    const double share = is_sold_out ? on_demand_fill_share_sold_out : on_demand_fill_share;
    return std::max(0, static_cast<int>(std::ceil(share * needed)) - reclaimable);
}

/// Allocates on-demand endpoints to zones. Running ones are kept, since new ones are charged while
/// they start; the others go to the cheapest zones.
static std::map<availability_zone, int>
allocate_on_demand(const scaling_input& input, const std::vector<availability_zone>& zones,
                   int missing)
{
    std::map<availability_zone, int> orders;
    const auto add = [&](const availability_zone& zone, int count) {
        // The capacity of a zone limits both kinds together.
        const int capacity =
            input.limits.max_per_zone - input.zones.at(zone).reclaimable - orders[zone];
        const int added = std::clamp(std::min(count, missing), 0, std::max(0, capacity));
        orders[zone] += added;
        missing -= added;
    };
    for (const auto& zone : zones) {
        add(zone, input.zones.at(zone).on_demand);
    }
    for (const auto& zone : zones) {
        add(zone, missing);
    }
    return orders;
}

std::vector<scaling_order> plan_scaling(const scaling_input& input)
{
    const auto zones = zones_by_price(input);
    const int zone_count = static_cast<int>(zones.size());
    if (zone_count == 0) {
        return {};
    }
    // If one zone is lost, the others carry the load.
    const int needed = needed_endpoints(input);
    const int remaining_zones = std::max(1, zone_count - 1);
    const int needed_per_zone = (needed + remaining_zones - 1) / remaining_zones;
    const int initial_per_zone = (input.min_total + zone_count - 1) / zone_count;
    const int reclaimable_per_zone =
        std::clamp(std::max(needed_per_zone, initial_per_zone), min_reclaimable_per_zone,
                   std::max(input.limits.max_per_zone, min_reclaimable_per_zone));
    const auto on_demand = allocate_on_demand(input, zones, needed_on_demand(input, needed));
    std::vector<scaling_order> orders;
    for (const auto& zone : zones) {
        const int min_on_demand = input.limits.min_per_zone - input.zones.at(zone).reclaimable;
        const int on_demand_count = std::max(on_demand.at(zone), min_on_demand);
        const int reclaimable =
            std::min(reclaimable_per_zone, input.limits.max_per_zone - on_demand_count);
        orders.push_back({input.service, zone, true, reclaimable});
        orders.push_back({input.service, zone, false, on_demand_count});
    }
    return orders;
}

} // namespace eelgrassbend
