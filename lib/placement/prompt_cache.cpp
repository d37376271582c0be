#include "eelgrassbend/placement/prompt_cache.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace eelgrassbend {

/// The engine has probably evicted parts that were unused for longer.
static constexpr std::chrono::seconds max_unused_time{60};
/// Parts that the estimate of one engine's cache holds; above this number, the least recently used
/// half is removed.
static constexpr std::size_t max_parts_per_engine = 2048;

std::string part_name(std::uint64_t id)
{
    constexpr int hex_base = 16;
    std::array<char, 2 * sizeof(id)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), id, hex_base).ptr;
    return {digits.data(), end};
}

void prompt_cache::record_use(const endpoint_id& endpoint, const std::vector<prompt_part>& parts,
                              monotonic_time now)
{
    auto& engine = this->engines[endpoint];
    for (const auto& part : parts) {
        auto& state = engine.parts[part.id];
        engine.tokens += part.tokens - state.tokens;
        state = {part.tokens, now};
    }
    if (engine.tokens > this->capacity_tokens || engine.parts.size() > max_parts_per_engine) {
        evict(engine, this->capacity_tokens);
    }
}

void prompt_cache::evict(engine_state& engine, std::int64_t capacity_tokens)
{
    std::vector<std::pair<monotonic_time, std::uint64_t>> by_age;
    by_age.reserve(engine.parts.size());
    for (const auto& [id, state] : engine.parts) {
        by_age.emplace_back(state.last_used, id);
    }
    std::sort(by_age.begin(), by_age.end());
    // Evicts down to three quarters, so that not every use sorts all parts.
    for (const auto& [last_used, id] : by_age) {
        if (engine.tokens <= capacity_tokens * 3 / 4 &&
            engine.parts.size() <= max_parts_per_engine / 2) {
            return;
        }
        const auto found = engine.parts.find(id);
        engine.tokens -= found->second.tokens;
        engine.parts.erase(found);
    }
}

std::int64_t prompt_cache::cached_tokens(const endpoint_id& endpoint,
                                         const std::vector<prompt_part>& parts,
                                         monotonic_time now) const
{
    const auto engine = this->engines.find(endpoint);
    if (engine == this->engines.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& part : parts) {
        const auto found = engine->second.parts.find(part.id);
        if (found == engine->second.parts.end() ||
            now - found->second.last_used > max_unused_time) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace eelgrassbend
