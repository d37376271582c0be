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

/// Another entry node as it was heard last.
struct known_node {
    node_digest digest;
    monotonic_time received_at;
};

/// Time without a digest after which a node is taken out of the directory; five digests.
constexpr duration node_report_timeout = std::chrono::milliseconds{1500};
/// Time for which a silent node may still be serving callers that this node cannot see.
constexpr duration node_absence_timeout = std::chrono::seconds{15};

struct node_counts {
    std::uint32_t reporting_nodes = 0;
    std::uint32_t serving_nodes = 0;
};

/// When this node sent its latest digests.
class sent_digests {
public:
    void add(std::uint64_t sequence, monotonic_time when);
    /// Nothing if it was sent too long ago or not at all.
    [[nodiscard]] std::optional<monotonic_time> time_of(std::uint64_t sequence) const;

private:
    std::map<std::uint64_t, monotonic_time> times;
};

/// The other entry nodes: where they are by the store, how they are by their digests.
class fleet_view {
public:
    explicit fleet_view(node_id self, availability_zone zone = {});

    void add_record(const node_record& record) { this->node_groups.add(record); }

    void remove_record(const node_id& node) { this->node_groups.remove(node); }

    [[nodiscard]] const fleet_groups& groups() const { return this->node_groups; }

    [[nodiscard]] bool is_in_group(const node_digest& other) const
    {
        return this->node_groups.is_in_own_group(other.node, other.zone);
    }

    /// False if the digest is old or this node's own.
    bool apply_digest(const node_digest& digest, monotonic_time now);

    /// Whether the digest came a little out of order: what it says of its sender is old, but what
    /// it passes on may be new.
    [[nodiscard]] bool is_reordered(const node_digest& digest) const;

    /// Nodes of the own group that a digest was heard from lately.
    [[nodiscard]] std::vector<const known_node*> alive_nodes(monotonic_time now) const;
    /// The same for the other groups; only a few of each tell this node anything.
    [[nodiscard]] std::vector<const known_node*> alive_remote_nodes(monotonic_time now) const;
    /// Whether this node speaks for its group: the first by name that is alive and stays.
    [[nodiscard]] bool is_representative(monotonic_time now) const;
    /// Where to send digests: all alive nodes of the group, and its silent ones if
    /// `include_silent`.
    [[nodiscard]] std::vector<network_address> digest_receivers(monotonic_time now,
                                                                bool include_silent) const;
    /// Nodes of the group that are heard, and that may be serving, this one included.
    [[nodiscard]] node_counts count_nodes(monotonic_time now) const;
    /// Addresses of the nodes of the group that take new callers, without this one.
    [[nodiscard]] std::vector<network_address> ready_addresses(monotonic_time now) const;

    [[nodiscard]] const std::map<node_id, known_node>& nodes() const { return this->known_nodes; }

private:
    [[nodiscard]] std::vector<const known_node*> filter_alive_nodes(monotonic_time now,
                                                                    bool in_group) const;

    node_id self;
    fleet_groups node_groups;
    std::map<node_id, known_node> known_nodes;
};

} // namespace eelgrassbend

#endif
