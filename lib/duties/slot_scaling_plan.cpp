#include "eelgrassbend/duties/slot_scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace eelgrassbend {

/// Planned utilization of engines and slots at the present load; above it, requests wait longer
/// than their objectives allow.
static constexpr double planned_utilization = 0.6;
/// Planned utilization during a burst with one zone lost. Waits grow, but for the boot time only.
static constexpr double burst_utilization = 0.85;
/// Planned load of a burst, relative to the present load.
static constexpr double burst_factor = 2.0;
/// Highest relative price of reclaimable endpoints at which spare ones are kept for a burst.
static constexpr double max_spare_price = 0.5;

const char* to_string(scaling_reason reason)
{
    switch (reason) {
    case scaling_reason::minimum:
        return "minimum";
    case scaling_reason::initial:
        return "initial";
    case scaling_reason::engine_time:
        return "engine_time";
    case scaling_reason::slots:
        return "slots";
    }
    return "unknown";
}

static int round_up(double count)
{
    return static_cast<int>(std::ceil(count - 1e-9));
}

static int divide_up(int total, int parts)
{
    return (total + parts - 1) / parts;
}

/// Zones in order of ascending price.
static std::vector<availability_zone> zones_by_price(const slot_scaling_input& input)
{
    std::vector<std::pair<double, availability_zone>> priced;
    for (const auto& [zone, counts] : input.zones) {
        const auto found = input.limits.zone_prices.find(zone);
        priced.emplace_back(found == input.limits.zone_prices.end() ? 0.0 : found->second, zone);
    }
    std::sort(priced.begin(), priced.end());
    std::vector<availability_zone> zones;
    for (auto& [price, zone] : priced) {
        zones.push_back(std::move(zone));
    }
    return zones;
}

/// Allocates `total` endpoints evenly; zones without room leave their part to the others.
static std::map<availability_zone, int> allocate_evenly(int total,
                                                        std::map<availability_zone, int> room)
{
    std::map<availability_zone, int> counts;
    while (total > 0 && !room.empty()) {
        const int part = divide_up(total, static_cast<int>(room.size()));
        for (auto next = room.begin(); next != room.end();) {
            const int added = std::min({part, total, next->second});
            counts[next->first] += added;
            total -= added;
            next->second -= added;
            next = next->second <= 0 ? room.erase(next) : std::next(next);
        }
    }
    return counts;
}

/// Keeps up to `wanted` of the running on-demand endpoints. All zones give back the same share, so
/// that none is left without endpoints.
static std::map<availability_zone, int> keep_on_demand(const slot_scaling_input& input, int wanted)
{
    int running = 0;
    for (const auto& [zone, counts] : input.zones) {
        running += counts.on_demand;
    }
    const double share =
        running > 0 ? std::clamp(static_cast<double>(wanted) / running, 0.0, 1.0) : 0.0;
    std::map<availability_zone, int> kept;
    for (const auto& [zone, counts] : input.zones) {
        // A zone keeps its minimum while its reclaimable endpoints start.
        const int least = input.limits.min_per_zone - counts.reclaimable;
        kept[zone] = std::max({0, round_up(share * counts.on_demand), least});
    }
    return kept;
}

/// Adds `missing` on-demand endpoints in the cheapest zones with room.
static void add_on_demand(const slot_scaling_input& input, int missing,
                          std::map<availability_zone, int>& counts)
{
    for (const auto& zone : zones_by_price(input)) {
        const int room =
            input.limits.max_per_zone - input.zones.at(zone).reclaimable - counts[zone];
        const int added = std::clamp(missing, 0, std::max(0, room));
        counts[zone] += added;
        missing -= added;
    }
}

/// Allocates `total` reclaimable endpoints. Zones that offer none keep those they have.
static std::map<availability_zone, int>
allocate_reclaimable(const slot_scaling_input& input, int total,
                     const std::map<availability_zone, int>& on_demand)
{
    std::map<availability_zone, int> room;
    for (const auto& [zone, counts] : input.zones) {
        const int left = std::max(0, input.limits.max_per_zone - on_demand.at(zone));
        room[zone] = counts.is_sold_out ? std::min(left, counts.reclaimable) : left;
    }
    return allocate_evenly(total, std::move(room));
}

/// Endpoints for `load` times the present load at a utilization, by engine time and by slots.
static std::pair<int, int> needed(const slot_scaling_input& input, double load, double utilization)
{
    const double slots = std::max(1, input.slots_per_engine);
    return {round_up(load * input.busy_engines / utilization),
            round_up(load * input.busy_slots / slots / utilization)};
}

slot_scaling_plan plan_slot_scaling(const slot_scaling_input& input)
{
    slot_scaling_plan plan;
    const int zone_count = static_cast<int>(input.zones.size());
    if (zone_count == 0) {
        return plan;
    }
    const auto [present_time, present_slots] = needed(input, 1.0, planned_utilization);
    plan.present_need = std::max(present_time, present_slots);
    auto [burst_time, burst_slots] = needed(input, burst_factor, burst_utilization);
    if (input.limits.reclaimable_price > max_spare_price) {
        std::tie(burst_time, burst_slots) = std::pair{present_time, present_slots};
    }
    // If one zone is lost, the others carry the burst.
    const int remaining_zones = std::max(1, zone_count - 1);
    const int per_zone = divide_up(std::max(burst_time, burst_slots), remaining_zones);
    plan.burst_need = per_zone * zone_count;
    plan.reason = plan.burst_need == 0       ? scaling_reason::minimum
                  : burst_slots > burst_time ? scaling_reason::slots
                                             : scaling_reason::engine_time;
    int total = plan.burst_need;
    if (input.min_total > total) {
        total = input.min_total;
        plan.reason = scaling_reason::initial;
    }
    if (const int least = input.limits.min_per_zone * zone_count; least >= total) {
        total = least;
        plan.reason = scaling_reason::minimum;
    }

    int reclaimable = 0;
    int running_on_demand = 0;
    for (const auto& [zone, counts] : input.zones) {
        reclaimable += counts.reclaimable;
        running_on_demand += counts.on_demand;
    }
    const int unmet = std::max(plan.present_need, input.min_total) - reclaimable;
    auto on_demand = keep_on_demand(input, unmet);
    auto orders = allocate_reclaimable(input, total, on_demand);
    // On-demand endpoints boot no faster than reclaimable ones that are being started.
    int starting = 0;
    for (const auto& [zone, counts] : input.zones) {
        starting += std::max(0, orders[zone] - counts.reclaimable);
    }
    add_on_demand(input, unmet - running_on_demand - starting, on_demand);
    for (const auto& [zone, counts] : input.zones) {
        int count = orders[zone];
        if (counts.is_sold_out) {
            // The order stays above the registered number, so that it is repeated and met as soon
            // as the zone offers endpoints again.
            count = std::max(count, divide_up(total, zone_count));
        }
        count = std::min(count, input.limits.max_per_zone - on_demand[zone]);
        plan.orders.push_back({input.service, zone, true, std::max(0, count)});
        plan.orders.push_back({input.service, zone, false, on_demand[zone]});
    }
    return plan;
}

} // namespace eelgrassbend
