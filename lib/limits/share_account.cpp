#include "eelgrassbend/limits/share_account.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Part of a limit that is divided evenly, so that a node without demand can admit a first request.
constexpr double even_part = 0.2;

} // namespace

void share_account::heard(monotonic_time now, const node_id& peer, const organisation_usage& usage)
{
    this->known[peer] = {usage.requests_per_second, usage.share, now};
}

void share_account::update(monotonic_time now, double own_demand, const std::vector<node_id>& shard)
{
    const auto stale = [&](const auto& entry) {
        return now - entry.second.heard > share_return_delay;
    };
    std::erase_if(this->known, stale);
    const auto members = static_cast<double>(shard.size() + 1);
    const double even = 1.0 / members;
    double demand = own_demand;
    double taken = 0.0;
    std::size_t heard_members = 0;
    for (const auto& [peer, state] : this->known) {
        // The share of a peer that is gone stays taken until it is stale: it may still use it.
        taken += state.share;
        if (std::ranges::find(shard, peer) != shard.end()) {
            demand += state.demand;
            ++heard_members;
        }
    }
    // A node that has just started takes no more than what an even division leaves to it.
    const bool alone = heard_members < shard.size();
    const bool fresh = now - this->started < share_return_delay;
    const double by_demand = demand > 0.0 ? own_demand / demand : even;
    const double target = even_part * even + (1.0 - even_part) * by_demand;
    const double unheard = static_cast<double>(shard.size() - heard_members) * even;
    const double left = std::max(0.0, 1.0 - taken - (alone || fresh ? unheard : 0.0));
    this->own_share = std::min(target, std::max(left, even_part * even));
}

} // namespace eelgrassbend
