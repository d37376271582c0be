#ifndef EELGRASSBEND_FLEET_FLEET_VIEW_H
#define EELGRASSBEND_FLEET_FLEET_VIEW_H

#include "eelgrassbend/fleet/node_digest.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Where another entry node hears digests, by its record in the store.
struct node_record {
    node_id node;
    network_address datagrams;
};

/// Another entry node as it was heard last.
struct known_node {
    node_digest digest;
    monotonic_time heard;
};

/// Time without a digest after which a node is taken out of the directory; five digests.
constexpr duration node_silence = std::chrono::milliseconds{1500};
/// Time for which a silent node may still be serving callers that this node cannot see.
constexpr duration node_absence = std::chrono::seconds{15};

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
    explicit fleet_view(node_id self) : self(std::move(self)) {}

    void add_record(const node_record& record);
    void remove_record(const node_id& node);
    /// False if the digest is old or this node's own.
    bool heard(const node_digest& digest, monotonic_time now);

    /// Nodes that a digest was heard from lately.
    [[nodiscard]] std::vector<const known_node*> alive(monotonic_time now) const;
    /// Where to send digests: all alive nodes, and the silent ones if `with_silent`.
    [[nodiscard]] std::vector<network_address> receivers(monotonic_time now,
                                                         bool with_silent) const;
    /// Share of the nodes that may be serving which this node hears, itself included; above 0.
    [[nodiscard]] double heard_share(monotonic_time now) const;
    /// Addresses of the nodes that take new callers, without this one.
    [[nodiscard]] std::vector<network_address> ready_callers(monotonic_time now) const;

    [[nodiscard]] const std::map<node_id, known_node>& all() const { return this->known; }

private:
    node_id self;
    std::map<node_id, node_record> records;
    std::map<node_id, known_node> known;
};

} // namespace eelgrassbend

#endif
