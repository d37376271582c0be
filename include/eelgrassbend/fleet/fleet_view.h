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
    monotonic_time heard;
};

/// Time without a digest after which a node is taken out of the directory; five digests.
constexpr duration node_silence = std::chrono::milliseconds{1500};
/// Time for which a silent node may still be serving callers that this node cannot see.
constexpr duration node_absence = std::chrono::seconds{15};

struct node_counts {
    std::uint32_t heard = 0;
    std::uint32_t serving = 0;
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

    void add_record(const node_record& record) { this->division.add(record); }

    void remove_record(const node_id& node) { this->division.remove(node); }

    [[nodiscard]] const fleet_groups& groups() const { return this->division; }

    [[nodiscard]] bool is_in_group(const node_digest& other) const
    {
        return this->division.is_own(other.node, other.zone);
    }

    /// False if the digest is old or this node's own.
    bool heard(const node_digest& digest, monotonic_time now);

    /// Whether the digest came a little out of order: what it says of its sender is old, but what
    /// it passes on may be new.
    [[nodiscard]] bool is_late(const node_digest& digest) const;

    /// Nodes of the own group that a digest was heard from lately.
    [[nodiscard]] std::vector<const known_node*> alive(monotonic_time now) const;
    /// The same for the other groups; only a few of each tell this node anything.
    [[nodiscard]] std::vector<const known_node*> alive_elsewhere(monotonic_time now) const;
    /// Whether this node speaks for its group: the first by name that is alive and stays.
    [[nodiscard]] bool is_representative(monotonic_time now) const;
    /// Where to send digests: all alive nodes of the group, and its silent ones if `with_silent`.
    [[nodiscard]] std::vector<network_address> receivers(monotonic_time now,
                                                         bool with_silent) const;
    /// Nodes of the group that are heard, and that may be serving, this one included.
    [[nodiscard]] node_counts counts(monotonic_time now) const;
    /// Addresses of the nodes of the group that take new callers, without this one.
    [[nodiscard]] std::vector<network_address> ready_callers(monotonic_time now) const;

    [[nodiscard]] const std::map<node_id, known_node>& all() const { return this->known; }

private:
    [[nodiscard]] std::vector<const known_node*> alive_where(monotonic_time now,
                                                             bool in_group) const;

    node_id self;
    fleet_groups division;
    std::map<node_id, known_node> known;
};

} // namespace eelgrassbend

#endif
