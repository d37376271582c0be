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

/// Tracks the work that callers request of each service, including refused requests. Adds up this
/// node's own count, the counts of its peers in the group and the sums of remote groups. Unlike the
/// number of requests in flight, demand does not grow when engines slow down.
class demand_tracker {
public:
    /// Counts a request for an engine. `uncached_tokens`: prompt tokens that the engine has to
    /// prefill; empty if the request was refused for lack of capacity.
    void record_request(const service_id& service, std::int64_t prompt_tokens,
                        std::optional<std::int64_t> uncached_tokens, std::int64_t output_tokens);

    [[nodiscard]] const service_demand& own_totals() const { return this->totals; }

    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const service_demand& reported);
    /// Totals of this node and its peers, without remote groups.
    [[nodiscard]] service_demand group_totals() const;
    /// Replaces the running totals of all remote groups together.
    void record_remote_totals(const service_demand& reported);

    /// Engine time over all nodes since this node started to count, in seconds. Only differences
    /// between two calls are meaningful.
    [[nodiscard]] double total(const service_id& service) const;

private:
    service_demand totals;
    peer_totals<service_id> peers;
    service_demand last_remote_totals; ///< in the last report
    service_demand remote_growth;      ///< since this node started to count
    std::map<service_id, double> uncached_share;
};

} // namespace eelgrassbend

#endif
