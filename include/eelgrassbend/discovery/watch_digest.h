#ifndef EELGRASSBEND_DISCOVERY_WATCH_DIGEST_H
#define EELGRASSBEND_DISCOVERY_WATCH_DIGEST_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <string>
#include <vector>

namespace eelgrassbend {

/// Load report received from a watched endpoint.
struct watched_report {
    endpoint_id endpoint;
    load_report report;
};

/// Load reports of the endpoints that a node watches, for the nodes that use them.
struct watch_digest {
    node_id from;
    std::vector<watched_report> reports;
};

/// Bandwidth budget of a node for sending watch digests. With `digest_bytes_per_second` for load
/// digests and 6 KB/s for membership, gossip and limits, a node stays below 22 KB/s.
constexpr std::int64_t watch_bytes_per_second = 10'000;

std::string encode(const watch_digest& digest);
/// Errors: `invalid_argument`.
result<watch_digest> decode_watch_digest(const std::string& bytes);

/// Interval at which digests of `bytes` each are sent to `receivers` nodes.
duration watch_digest_interval(std::size_t bytes, std::size_t receivers);

} // namespace eelgrassbend

#endif
