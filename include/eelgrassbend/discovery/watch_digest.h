#ifndef EELGRASSBEND_DISCOVERY_WATCH_DIGEST_H
#define EELGRASSBEND_DISCOVERY_WATCH_DIGEST_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <string>
#include <vector>

namespace eelgrassbend {

/// What an endpoint said to the node that watches it.
struct watched_report {
    endpoint_id endpoint;
    load_report report;
};

/// What a node has read from the endpoints that it watches, for the nodes that use them.
struct watch_digest {
    node_id from;
    std::vector<watched_report> reports;
};

/// Bytes a second that a node spends on sending watch digests; with `digest_bytes_per_second` for
/// what is under way and 6 KB for membership, rumours and limits, a node stays below 22 KB.
constexpr std::int64_t watch_bytes_per_second = 10'000;

std::string encode(const watch_digest& digest);
/// Errors: `invalid_argument`.
result<watch_digest> decode_watch_digest(const std::string& bytes);

/// Time between two digests of `bytes` each to `receivers` nodes.
duration watch_digest_interval(std::size_t bytes, std::size_t receivers);

} // namespace eelgrassbend

#endif
