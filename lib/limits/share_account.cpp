#include "eelgrassbend/limits/share_account.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Fraction of a limit that is divided evenly, so that a node without demand can admit a first
/// request.
constexpr double even_fraction = 0.2;

} // namespace

void share_account::record_peer_usage(monotonic_time now, const node_id& peer,
                                      const organisation_usage& usage)
{
    this->peers[peer] = {usage.requests_per_second, usage.share, now};
}

void share_account::update(monotonic_time now, double own_demand, const std::vector<node_id>& shard)
{
    const auto is_stale = [&](const auto& entry) {
        return now - entry.second.received_at > share_return_delay;
    };
    std::erase_if(this->peers, is_stale);
    const auto node_count = static_cast<double>(shard.size() + 1);
    const double even_share = 1.0 / node_count;
    double demand = own_demand;
    double reserved = 0.0;
    std::size_t reporting_peers = 0;
    for (const auto& [peer, state] : this->peers) {
        // The share of a peer that is gone stays reserved until it is stale: the peer may still use
        // it.
        reserved += state.share;
        if (std::ranges::find(shard, peer) != shard.end()) {
            demand += state.demand;
            ++reporting_peers;
        }
    }
    // A node that has just started takes no more than an even division leaves to it.
    const bool is_incomplete = reporting_peers < shard.size();
    const bool is_new = now - this->created_at < share_return_delay;
    const double by_demand = demand > 0.0 ? own_demand / demand : even_share;
    const double target = even_fraction * even_share + (1.0 - even_fraction) * by_demand;
    const double unreported_share =
        static_cast<double>(shard.size() - reporting_peers) * even_share;
    const double available =
        std::max(0.0, 1.0 - reserved - (is_incomplete || is_new ? unreported_share : 0.0));
    this->own_share = std::min(target, std::max(available, even_fraction * even_share));
}

} // namespace eelgrassbend
