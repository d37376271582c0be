#include "eelgrassbend/placement/prompt_cache.h"

#include <algorithm>

namespace eelgrassbend {

/// Parts that were not used for so long have probably yielded to others.
static constexpr std::chrono::seconds longest_kept{60};
/// Parts of one engine that are remembered; the oldest half is dropped beyond it.
static constexpr std::size_t most_parts = 2048;

void prompt_cache::used(const endpoint_id& endpoint, const std::vector<prompt_part>& parts,
                        monotonic_time now)
{
    auto& engine = this->engines[endpoint];
    for (const auto& part : parts) {
        auto& state = engine.parts[part.id];
        engine.tokens += part.tokens - state.tokens;
        state = {part.tokens, now};
    }
    if (engine.tokens > this->memory || engine.parts.size() > most_parts) {
        evict(engine, this->memory);
    }
}

void prompt_cache::evict(engine_state& engine, std::int64_t memory)
{
    std::vector<std::pair<monotonic_time, std::uint64_t>> by_age;
    by_age.reserve(engine.parts.size());
    for (const auto& [id, state] : engine.parts) {
        by_age.emplace_back(state.used, id);
    }
    std::sort(by_age.begin(), by_age.end());
    // Down to three quarters, so that not each use sorts all parts.
    for (const auto& [used, id] : by_age) {
        if (engine.tokens <= memory * 3 / 4 && engine.parts.size() <= most_parts / 2) {
            return;
        }
        const auto found = engine.parts.find(id);
        engine.tokens -= found->second.tokens;
        engine.parts.erase(found);
    }
}

std::int64_t prompt_cache::kept(const endpoint_id& endpoint, const std::vector<prompt_part>& parts,
                                monotonic_time now) const
{
    const auto engine = this->engines.find(endpoint);
    if (engine == this->engines.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& part : parts) {
        const auto found = engine->second.parts.find(part.id);
        if (found == engine->second.parts.end() || now - found->second.used > longest_kept) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace eelgrassbend
