#ifndef EELGRASSBEND_BENCH_MEMBER_TRAFFIC_H
#define EELGRASSBEND_BENCH_MEMBER_TRAFFIC_H

#include "fakes/member_cluster.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace eelgrassbend::bench {

/// Sums over the running nodes; sent and received together, as the target counts what a node
/// spends.
struct member_traffic {
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t declared_dead = 0;
};

inline member_traffic total_traffic(const fakes::member_cluster& cluster)
{
    member_traffic sum;
    for (const auto& node : cluster.nodes) {
        if (node) {
            const auto& channel = node->channel.counters();
            sum.bytes += channel.sent_bytes + channel.received_bytes;
            sum.datagrams += channel.sent + channel.received;
            sum.suspicions += node->swim.counters().suspicions;
            sum.declared_dead += node->swim.counters().declared_dead;
        }
    }
    return sum;
}

inline double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Null if it did not happen.
inline nlohmann::json optional_seconds(const std::optional<duration>& span)
{
    return span ? nlohmann::json(to_seconds(*span)) : nlohmann::json();
}

} // namespace eelgrassbend::bench

#endif
