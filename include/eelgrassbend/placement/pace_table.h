#ifndef EELGRASSBEND_PLACEMENT_PACE_TABLE_H
#define EELGRASSBEND_PLACEMENT_PACE_TABLE_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace eelgrassbend {

/// Running totals of the time until the first byte at one incarnation of an endpoint.
struct pace_totals {
    endpoint_id endpoint;
    std::int64_t started = 0; ///< incarnation
    duration taken{};
    duration predicted{};

    friend bool operator==(const pace_totals&, const pace_totals&) = default;
};

/// Learns how fast endpoints are from the attempts of all nodes of a group: the ratio of the time
/// taken to the time predicted, averaged over the last seconds. A single node of a large fleet
/// sends too few requests to an endpoint to learn its speed.
class pace_table {
public:
    /// Paces that one digest reports.
    static constexpr std::size_t max_reported_paces = 8;

    void record(const endpoint_id& endpoint, duration taken, duration predicted,
                monotonic_time now);
    /// Ratio of the time taken to the time predicted; 1 without observations.
    [[nodiscard]] double pace(const endpoint_id& endpoint, monotonic_time now) const;
    /// Sets the current incarnation of an endpoint and discards what is known of earlier ones.
    void set_incarnation(const endpoint_id& endpoint, std::int64_t started);
    void forget(const endpoint_id& endpoint);

    /// This node's own totals for the digests of round `round`: those that changed recently, and
    /// the same ones for all digests of the round.
    [[nodiscard]] std::vector<pace_totals> totals_for_digest(std::uint64_t round);
    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const std::vector<pace_totals>& reported, monotonic_time now);

    void forget_peer(const node_id& node) { this->peers.erase(node); }

private:
    /// Exponentially decayed sums of the last observations, in seconds.
    struct decayed_sums {
        double taken = 0.0;
        double predicted = 0.0;
        monotonic_time updated_at;

        void add(double taken_seconds, double predicted_seconds, monotonic_time now);
    };

    struct endpoint_state {
        std::int64_t started = 0;
        pace_totals own;
        std::uint64_t changed_in_round = 0;
        bool is_reported = true;
        decayed_sums sums;
    };

    struct peer_state {
        std::uint64_t incarnation = 0;
        std::map<endpoint_id, pace_totals> totals;
    };

    std::map<endpoint_id, endpoint_state> endpoints;
    std::map<node_id, peer_state> peers;
    std::uint64_t round = 0;
    std::vector<pace_totals> round_totals;
};

} // namespace eelgrassbend

#endif
