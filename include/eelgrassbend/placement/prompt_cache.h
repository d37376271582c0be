#ifndef EELGRASSBEND_PLACEMENT_PROMPT_CACHE_H
#define EELGRASSBEND_PLACEMENT_PROMPT_CACHE_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// A part of a prompt, which several requests can share.
struct prompt_part {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// Returns the id of a part as logs show it.
std::string part_name(std::uint64_t id);

/// Estimates which prompt parts each engine caches, from the requests that this node sent to it.
class prompt_cache {
public:
    /// `capacity_tokens`: assumed cache size of each engine.
    explicit prompt_cache(std::int64_t capacity_tokens) : capacity_tokens(capacity_tokens) {}

    void record_use(const endpoint_id& endpoint, const std::vector<prompt_part>& parts,
                    monotonic_time now);

    void forget(const endpoint_id& endpoint) { this->engines.erase(endpoint); }

    /// Tokens of the leading parts that the engine probably has cached.
    [[nodiscard]] std::int64_t cached_tokens(const endpoint_id& endpoint,
                                             const std::vector<prompt_part>& parts,
                                             monotonic_time now) const;

private:
    struct part_state {
        std::int64_t tokens = 0;
        monotonic_time last_used;
    };

    struct engine_state {
        std::unordered_map<std::uint64_t, part_state> parts;
        std::int64_t tokens = 0;
    };

    static void evict(engine_state& engine, std::int64_t capacity_tokens);

    std::int64_t capacity_tokens;
    std::map<endpoint_id, engine_state> engines;
};

} // namespace eelgrassbend

#endif
