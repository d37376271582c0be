#include "eelgrassbend/fleet/fleet_groups.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Nodes of a fleet that is one group; each of them hears some hundred datagrams a second.
static constexpr std::size_t most_in_one_group = 32;
/// Nodes of a zone that is one group; about the same number of datagrams, since a larger group
/// sends no digests between the regular ones.
static constexpr std::size_t most_in_zone_group = 64;

fleet_groups::fleet_groups(node_id self, availability_zone zone)
    : self(std::move(self)), zone(std::move(zone))
{
}

void fleet_groups::add(const node_record& record)
{
    if (record.node != this->self) {
        this->known[record.node] = record;
        this->is_arranged = false;
    }
}

void fleet_groups::remove(const node_id& node)
{
    this->known.erase(node);
    this->is_arranged = false;
}

void fleet_groups::arrange() const
{
    if (std::exchange(this->is_arranged, true)) {
        return;
    }
    this->zone_sizes.clear();
    ++this->zone_sizes[this->zone];
    for (const auto& [id, record] : this->known) {
        ++this->zone_sizes[record.zone];
    }
    this->own_group = this->group_of(this->self, this->zone);
    this->other_groups.clear();
    for (const auto& [id, record] : this->known) {
        auto group = this->group_of(id, record.zone);
        if (group != this->own_group) {
            this->other_groups[std::move(group)].push_back(record);
        }
    }
}

group_id fleet_groups::group_of(const node_id& node, const availability_zone& node_zone) const
{
    this->arrange();
    if (this->known.size() < most_in_one_group) {
        return {};
    }
    const auto size = this->zone_sizes.find(node_zone);
    const auto nodes = size == this->zone_sizes.end() ? 1 : size->second;
    const auto parts = (nodes + most_in_zone_group - 1) / most_in_zone_group;
    const auto part = parts == 1 ? 0 : stable_hash(node.value()) % parts;
    return group_id{node_zone.value() + "/" + std::to_string(part)};
}

const group_id& fleet_groups::own() const
{
    this->arrange();
    return this->own_group;
}

const std::map<group_id, std::vector<node_record>>& fleet_groups::others() const
{
    this->arrange();
    return this->other_groups;
}

std::size_t fleet_groups::own_place() const
{
    const auto& groups = this->others();
    return static_cast<std::size_t>(
        std::distance(groups.begin(), groups.lower_bound(this->own_group)));
}

std::size_t fleet_groups::nodes_elsewhere() const
{
    std::size_t nodes = 0;
    for (const auto& [group, records] : this->others()) {
        nodes += records.size();
    }
    return nodes;
}

} // namespace eelgrassbend
