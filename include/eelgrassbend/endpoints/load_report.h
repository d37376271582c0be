#ifndef EELGRASSBEND_ENDPOINTS_LOAD_REPORT_H
#define EELGRASSBEND_ENDPOINTS_LOAD_REPORT_H

#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <vector>

namespace eelgrassbend {

/// Load reported by an endpoint; delayed by the poll interval and the call.
struct load_report {
    wall_time measured_at; ///< by the endpoint's clock
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    token_count queued_prompt_tokens;
    double tokens_per_second = 0.0; ///< output of all slots
};

enum class cache_event_kind { stored, evicted, cleared };

/// A change of an engine's prefix cache. Gaps in `sequence` are lost events.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::stored;
    std::vector<std::uint64_t> blocks; ///< chained block hashes, see prefix_blocks
};

} // namespace eelgrassbend

#endif
