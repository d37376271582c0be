#include "eelgrassbend/duties/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrassbend {

/// Part of an engine's time that is planned for; with more, prompts wait behind others beyond their
/// objective.
static constexpr double planned_use = 0.6;
/// Reclaimable endpoints kept in each zone, whatever the load: a burst is there before a new one
/// has started.
static constexpr int least_reclaimable = 3;
/// Part of the need below which on-demand endpoints fill in for lost reclaimable ones. They cost
/// several times as much, and start about when the others come back, unless none are to be had.
static constexpr double filled_part = 0.4;
static constexpr double filled_part_sold_out = 0.8;

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
    return static_cast<int>(std::ceil(input.busy_engines / planned_use)) + 1;
}

/// On-demand endpoints that are needed in all. Where there are no reclaimable ones at all, not yet
/// or because none are offered, on-demand ones carry everything.
static int missing_endpoints(const scaling_input& input, int needed)
{
    int present = 0;
    bool is_sold_out = false;
    for (const auto& [zone, counts] : input.zones) {
        present += counts.reclaimable;
        is_sold_out = is_sold_out || counts.is_sold_out;
    }
    if (present == 0) {
        return std::max(needed, input.least_total);
    }
    const double part = is_sold_out ? filled_part_sold_out : filled_part;
    return std::max(0, static_cast<int>(std::ceil(part * needed)) - present);
}

/// On-demand endpoints of each zone. Those that run stay, since new ones are paid for while they
/// start; the rest goes where it is cheapest.
static std::map<availability_zone, int>
spread_on_demand(const scaling_input& input, const std::vector<availability_zone>& zones,
                 int missing)
{
    std::map<availability_zone, int> orders;
    const auto add = [&](const availability_zone& zone, int wanted) {
        // A zone has room for a limited number of both kinds together.
        const int room = input.limits.most - input.zones.at(zone).reclaimable - orders[zone];
        const int added = std::clamp(std::min(wanted, missing), 0, std::max(0, room));
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
    const auto on_demand = spread_on_demand(input, zones, missing_endpoints(input, needed));
    std::vector<scaling_order> orders;
    for (const auto& zone : zones) {
        const int least_left = input.limits.least - input.zones.at(zone).reclaimable;
        const int filled = std::max(on_demand.at(zone), least_left);
        const int reclaimable = std::min(each, input.limits.most - filled);
        orders.push_back({input.service, zone, true, reclaimable});
        orders.push_back({input.service, zone, false, filled});
    }
    return orders;
}

} // namespace eelgrassbend
