#ifndef EELGRASSBEND_FLEET_FLEET_VIEW_H
#define EELGRASSBEND_FLEET_FLEET_VIEW_H

#include "eelgrassbend/fleet/fleet_groups.h"
#include "eelgrassbend/fleet/node_digest.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Last digest received from another entry node.
struct known_node {
    node_digest digest;
    monotonic_time received_at;
};

/// Time without a digest after which a node is removed from the directory; five digest intervals.
constexpr duration node_report_timeout = std::chrono::milliseconds{1500};
/// Time without a digest for which a node may still serve callers, unseen by this node.
constexpr duration node_absence_timeout = std::chrono::seconds{15};

/// Number of nodes that send digests, and of nodes that may be serving callers.
struct node_counts {
    std::uint32_t reporting_nodes = 0;
    std::uint32_t serving_nodes = 0;
};

/// Send times of this node's latest digests.
class sent_digests {
public:
    void add(std::uint64_t sequence, monotonic_time when);
    /// Empty if the digest was sent too long ago or not at all.
    [[nodiscard]] std::optional<monotonic_time> time_of(std::uint64_t sequence) const;

private:
    std::map<std::uint64_t, monotonic_time> times;
};

/// The other entry nodes: their addresses from the store and their state from their digests.
class fleet_view {
public:
    explicit fleet_view(node_id self, availability_zone zone = {},
                        std::uint32_t host_memory_mb = 0);

    void add_record(const node_record& record) { this->node_groups.add(record); }

    void remove_record(const node_id& node) { this->node_groups.remove(node); }

    [[nodiscard]] const fleet_groups& groups() const { return this->node_groups; }

    [[nodiscard]] bool is_in_group(const node_digest& other) const
    {
        return this->node_groups.is_in_own_group(other.node, other.zone);
    }

    /// Stores a received digest; false if it is outdated or this node's own.
    bool apply_digest(const node_digest& digest, monotonic_time now);

    /// Whether the digest was received slightly out of order: its sender's own state is outdated,
    /// but the state it relays may be new.
    [[nodiscard]] bool is_reordered(const node_digest& digest) const;

    /// Nodes of the own group that sent a digest within `node_report_timeout`.
    [[nodiscard]] std::vector<const known_node*> alive_nodes(monotonic_time now) const;
    /// The same for the other groups, of which only a few nodes each send digests to this node.
    [[nodiscard]] std::vector<const known_node*> alive_remote_nodes(monotonic_time now) const;
    /// Whether another node of the group takes precedence over this one for work that one node does
    /// for many: nodes on larger hosts first, then those with lower names.
    [[nodiscard]] bool precedes(const node_digest& other) const;

    [[nodiscard]] std::uint32_t own_host_memory_mb() const { return this->host_memory_mb; }

    /// Whether this node represents its group to the others. The representative is the first alive
    /// node by precedence that is not leaving.
    [[nodiscard]] bool is_representative(monotonic_time now) const;
    /// Addresses to send digests to: all alive nodes of the group, and with `include_silent` also
    /// the others that have a record.
    [[nodiscard]] std::vector<network_address> digest_receivers(monotonic_time now,
                                                                bool include_silent) const;
    /// Counts the nodes of the group, including this one.
    [[nodiscard]] node_counts count_nodes(monotonic_time now) const;
    /// Caller addresses of the other nodes of the group that accept new callers.
    [[nodiscard]] std::vector<network_address> ready_addresses(monotonic_time now) const;

    [[nodiscard]] const std::map<node_id, known_node>& nodes() const { return this->known_nodes; }

private:
    [[nodiscard]] std::vector<const known_node*> filter_alive_nodes(monotonic_time now,
                                                                    bool in_group) const;

    node_id self;
    std::uint32_t host_memory_mb;
    fleet_groups node_groups;
    std::map<node_id, known_node> known_nodes;
};

} // namespace eelgrassbend

#endif
