#ifndef EELGRASSBEND_PLACEMENT_DEMAND_TRACKER_H
#define EELGRASSBEND_PLACEMENT_DEMAND_TRACKER_H

#include "eelgrassbend/placement/engine_cost_model.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/peer_totals.h"

#include <cstdint>
#include <map>
#include <optional>

namespace eelgrassbend {

/// Engine time or slot time by service, in seconds; running totals.
using service_demand = std::map<service_id, double>;

/// Adds up this node's own totals, those of its peers in the group and the sums of remote groups.
class fleet_demand {
public:
    void add(const service_id& service, double seconds) { this->totals[service] += seconds; }

    [[nodiscard]] const service_demand& own_totals() const { return this->totals; }

    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const service_demand& reported);
    /// Totals of this node and its peers, without remote groups.
    [[nodiscard]] service_demand group_totals() const;
    /// Replaces the running totals of all remote groups together.
    void record_remote_totals(const service_demand& reported);

    /// Time over all nodes since this node started to count, in seconds. Only differences between
    /// two calls are meaningful.
    [[nodiscard]] double total(const service_id& service) const;

private:
    service_demand totals;
    peer_totals<service_id> peers;
    service_demand last_remote_totals; ///< in the last report
    service_demand remote_growth;      ///< since this node started to count
};

/// Tracks the work that callers request of each service, including refused requests, as engine time
/// and, for slot-bound services, as slot time. Unlike the number of requests in flight, demand does
/// not grow when engines slow down.
class demand_tracker {
public:
    /// Counts a request for an engine. `uncached_tokens`: prompt tokens that the engine has to
    /// prefill; empty if the request was refused for lack of capacity. `learned`: costs of a
    /// slot-bound service; empty for other services, which are counted with the constants.
    void record_request(const service_id& service, std::int64_t prompt_tokens,
                        std::optional<std::int64_t> uncached_tokens, std::int64_t output_tokens,
                        const std::optional<engine_costs>& learned = std::nullopt);

    /// Engine time.
    [[nodiscard]] const service_demand& own_totals() const
    {
        return this->engine_time.own_totals();
    }

    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const service_demand& reported)
    {
        this->engine_time.record_peer_totals(node, incarnation, reported);
    }

    [[nodiscard]] service_demand group_totals() const { return this->engine_time.group_totals(); }

    void record_remote_totals(const service_demand& reported)
    {
        this->engine_time.record_remote_totals(reported);
    }

    [[nodiscard]] double total(const service_id& service) const
    {
        return this->engine_time.total(service);
    }

    [[nodiscard]] fleet_demand& slots() { return this->slot_time; }

    [[nodiscard]] const fleet_demand& slots() const { return this->slot_time; }

private:
    fleet_demand engine_time;
    fleet_demand slot_time;
    std::map<service_id, double> uncached_share;
};

} // namespace eelgrassbend

#endif
