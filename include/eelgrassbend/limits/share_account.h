#ifndef EELGRASSBEND_LIMITS_SHARE_ACCOUNT_H
#define EELGRASSBEND_LIMITS_SHARE_ACCOUNT_H

#include "eelgrassbend/limits/limit_peers.h"
#include "eelgrassbend/support/units.h"

#include <map>
#include <vector>

namespace eelgrassbend {

/// Time after which the share of a node that is gone or silent is divided among the others.
constexpr duration share_return_delay = std::chrono::seconds{3};
/// Interval between messages about shares.
constexpr duration share_interval = std::chrono::milliseconds{500};

/// One node's share of one organisation's limits.
class share_account {
public:
    explicit share_account(monotonic_time now = {}) : created_at(now) {}

    /// Records the share and demand that a peer reported.
    void record_peer_usage(monotonic_time now, const node_id& peer,
                           const organisation_usage& usage);
    /// Sets the share: a part of the limits is divided evenly, the rest in proportion to the
    /// demand. Beyond a minimum, the share is limited to what the shares of the peers leave of the
    /// whole.
    void update(monotonic_time now, double own_demand, const std::vector<node_id>& shard);

    [[nodiscard]] double share() const { return this->own_share; }

private:
    struct peer_state {
        double demand = 0.0;
        double share = 0.0;
        monotonic_time received_at;
    };

    monotonic_time created_at;
    double own_share = 0.0;
    std::map<node_id, peer_state> peers;
};

} // namespace eelgrassbend

#endif
