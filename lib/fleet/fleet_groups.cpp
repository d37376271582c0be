#include "eelgrassbend/fleet/fleet_groups.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Maximum size of a fleet with a single group, where each node receives some hundred datagrams per
/// second.
static constexpr std::size_t max_single_group_nodes = 32;
/// Maximum size of a zone with a single group. The number of datagrams is about the same, since a
/// larger group sends no digests between the regular ones.
static constexpr std::size_t max_zone_group_nodes = 64;

fleet_groups::fleet_groups(node_id self, availability_zone zone)
    : self(std::move(self)), zone(std::move(zone))
{
}

void fleet_groups::add(const node_record& record)
{
    if (record.node != this->self) {
        this->node_records[record.node] = record;
        this->is_computed = false;
    }
}

void fleet_groups::remove(const node_id& node)
{
    this->node_records.erase(node);
    this->is_computed = false;
}

void fleet_groups::compute_groups() const
{
    if (std::exchange(this->is_computed, true)) {
        return;
    }
    this->zone_sizes.clear();
    ++this->zone_sizes[this->zone];
    for (const auto& [id, record] : this->node_records) {
        ++this->zone_sizes[record.zone];
    }
    this->cached_own_group = this->group_of(this->self, this->zone);
    this->cached_other_groups.clear();
    for (const auto& [id, record] : this->node_records) {
        auto group = this->group_of(id, record.zone);
        if (group != this->cached_own_group) {
            this->cached_other_groups[std::move(group)].push_back(record);
        }
    }
}

group_id fleet_groups::group_of(const node_id& node, const availability_zone& node_zone) const
{
    this->compute_groups();
    if (this->node_records.size() < max_single_group_nodes) {
        return {};
    }
    const auto size = this->zone_sizes.find(node_zone);
    const auto nodes = size == this->zone_sizes.end() ? 1 : size->second;
    const auto parts = (nodes + max_zone_group_nodes - 1) / max_zone_group_nodes;
    const auto part = parts == 1 ? 0 : stable_hash(node.value()) % parts;
    return group_id{node_zone.value() + "/" + std::to_string(part)};
}

const group_id& fleet_groups::own_group() const
{
    this->compute_groups();
    return this->cached_own_group;
}

const std::map<group_id, std::vector<node_record>>& fleet_groups::other_groups() const
{
    this->compute_groups();
    return this->cached_other_groups;
}

std::size_t fleet_groups::own_group_index() const
{
    const auto& groups = this->other_groups();
    return static_cast<std::size_t>(
        std::distance(groups.begin(), groups.lower_bound(this->cached_own_group)));
}

std::size_t fleet_groups::remote_node_count() const
{
    std::size_t nodes = 0;
    for (const auto& [group, records] : this->other_groups()) {
        nodes += records.size();
    }
    return nodes;
}

} // namespace eelgrassbend
