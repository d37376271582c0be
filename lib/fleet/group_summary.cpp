#include "eelgrassbend/fleet/group_summary.h"

#include <utility>

namespace eelgrassbend {

/// Maximum number of entries that fit a datagram together with the other fields of a digest.
static constexpr std::size_t max_part_work_entries = 64;
static constexpr std::size_t max_part_unit_entries = 64;
static constexpr std::size_t max_part_addresses = 32;

static void split_work(const group_summary& head, const work_range& whole,
                       std::vector<group_summary>& parts)
{
    work_range part;
    part.from = whole.from;
    for (const auto& [key, work] : whole.work) {
        if (part.work.size() == max_part_work_entries) {
            part.to = key;
            parts.push_back(head);
            parts.back().work = std::exchange(part, work_range{key, whole.to, {}});
        }
        part.work[key] = work;
    }
    part.to = whole.to;
    parts.push_back(head);
    parts.back().work = std::move(part);
}

std::vector<group_summary> split_summary(const group_summary& whole)
{
    group_summary head;
    head.group = whole.group;
    head.reporting_nodes = whole.reporting_nodes;
    head.serving_nodes = whole.serving_nodes;
    head.duty_holder = whole.duty_holder;
    head.demand = whole.demand;
    head.slot_demand = whole.slot_demand;
    std::vector<group_summary> parts;
    if (whole.work) {
        split_work(head, *whole.work, parts);
    }
    std::size_t index = 0;
    for (const auto& [key, units] : whole.admitted) {
        if (index++ % max_part_unit_entries == 0) {
            parts.push_back(head);
        }
        parts.back().admitted[key] = units;
    }
    for (index = 0; index < whole.ready.size(); ++index) {
        if (index % max_part_addresses == 0) {
            parts.push_back(head);
        }
        parts.back().ready.push_back(whole.ready[index]);
    }
    return parts;
}

} // namespace eelgrassbend
