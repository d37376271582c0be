#ifndef EELGRASSBEND_FLEET_FLEET_GROUPS_H
#define EELGRASSBEND_FLEET_FLEET_GROUPS_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace eelgrassbend {

/// Name of a group of entry nodes; empty if the fleet is a single group.
using group_id = strong_type<struct group_id_tag, std::string>;

/// Address at which another entry node receives digests, from its record in the store.
struct node_record {
    node_id node;
    network_address datagrams;
    availability_zone zone;
};

/// Divides the fleet into groups whose nodes exchange full digests. The division depends only on
/// the nodes' records, so nodes with the same records agree on it. It bounds the digest traffic,
/// which grows with the square of the group size. A small fleet is a single group; in a larger one
/// each availability zone is one group, or several of about the same size.
class fleet_groups {
public:
    fleet_groups(node_id self, availability_zone zone);

    void add(const node_record& record);
    void remove(const node_id& node);

    [[nodiscard]] const group_id& own_group() const;
    [[nodiscard]] group_id group_of(const node_id& node, const availability_zone& zone) const;

    [[nodiscard]] bool is_in_own_group(const node_id& node, const availability_zone& zone) const
    {
        return this->group_of(node, zone) == this->own_group();
    }

    /// Records of the nodes of all other groups, by group name.
    [[nodiscard]] const std::map<group_id, std::vector<node_record>>& other_groups() const;
    /// Index of the own group among all groups in the order of their names.
    [[nodiscard]] std::size_t own_group_index() const;

    [[nodiscard]] std::size_t group_count() const { return this->other_groups().size() + 1; }

    /// Number of nodes of the other groups.
    [[nodiscard]] std::size_t remote_node_count() const;

    [[nodiscard]] const std::map<node_id, node_record>& records() const
    {
        return this->node_records;
    }

private:
    void compute_groups() const;

    node_id self;
    availability_zone zone;
    std::map<node_id, node_record> node_records;
    // Computed from `node_records` on demand.
    mutable bool is_computed = false;
    mutable std::map<availability_zone, std::size_t> zone_sizes;
    mutable group_id cached_own_group;
    mutable std::map<group_id, std::vector<node_record>> cached_other_groups;
};

} // namespace eelgrassbend

#endif
