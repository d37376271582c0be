#ifndef EELGRASSBEND_ROUTING_LOAD_DIGEST_H
#define EELGRASSBEND_ROUTING_LOAD_DIGEST_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbend {

/// In-flight attempts of one entry node at one endpoint.
struct endpoint_usage {
    endpoint_id endpoint;
    std::uint32_t outstanding = 0;
    std::int64_t pending_prompt_tokens = 0;
    bool is_suspected = false; ///< slow according to the node's own measurements

    friend bool operator==(const endpoint_usage&, const endpoint_usage&) = default;
};

/// In-flight attempts of one entry node at all endpoints; endpoints left out have none.
struct load_digest {
    node_id from;
    std::vector<endpoint_usage> endpoints;
};

/// Bandwidth budget of a node for sending digests.
constexpr std::int64_t digest_bytes_per_second = 6'000;

std::string encode(const load_digest& digest);
/// Errors: `invalid_argument`.
result<load_digest> decode_load_digest(const std::string& bytes);

/// Interval at which digests of `bytes` each are sent to `receivers` nodes.
duration digest_interval(std::size_t bytes, std::size_t receivers);

} // namespace eelgrassbend

#endif
