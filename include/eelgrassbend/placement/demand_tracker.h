#ifndef EELGRASSBEND_PLACEMENT_DEMAND_TRACKER_H
#define EELGRASSBEND_PLACEMENT_DEMAND_TRACKER_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/peer_totals.h"

#include <cstdint>
#include <map>
#include <optional>

namespace eelgrassbend {

/// Engine time by service, in seconds; running totals.
using service_demand = std::map<service_id, double>;

/// How much work callers ask of each service, whether it finds room or not: this node's own count,
/// what the nodes of its group tell of theirs, and the sums of other groups. Unlike the number of
/// requests under way it does not grow because engines are slow.
class demand_tracker {
public:
    /// A request for an engine. `uncached`: prompt tokens that its engine has to read; nothing if
    /// it found no room.
    void record_request(const service_id& service, std::int64_t prompt_tokens,
                        std::optional<std::int64_t> uncached_tokens, std::int64_t output_tokens);

    [[nodiscard]] const service_demand& own_totals() const { return this->totals; }

    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const service_demand& reported);
    /// Of this node and those that tell it theirs, without other groups.
    [[nodiscard]] service_demand group_totals() const;
    /// Running totals of all other groups together.
    void record_remote_totals(const service_demand& reported);

    /// Over all nodes, since this node began to count; only differences mean anything.
    [[nodiscard]] double total(const service_id& service) const;

private:
    service_demand totals;
    peer_totals<service_id> peers;
    service_demand last_remote_totals; ///< as reported last
    service_demand remote_growth;      ///< since this node began to count
    std::map<service_id, double> uncached_share;
};

} // namespace eelgrassbend

#endif
