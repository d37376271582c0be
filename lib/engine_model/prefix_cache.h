#ifndef EELGRASSBEND_LIB_ENGINE_MODEL_PREFIX_CACHE_H
#define EELGRASSBEND_LIB_ENGINE_MODEL_PREFIX_CACHE_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Blocks that one insertion stored and evicted.
struct prefix_cache_change {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

/// A bounded set of block hashes with least recently used eviction.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity) : capacity(capacity) {}

    /// Returns the number of leading blocks of the chain that are cached and marks them as most
    /// recently used.
    std::size_t match(const std::vector<std::uint64_t>& chain);
    /// Stores a chain, truncated to the capacity.
    prefix_cache_change insert(const std::vector<std::uint64_t>& chain);
    void clear();

    [[nodiscard]] std::size_t size() const { return this->recency.size(); }

private:
    void touch(std::uint64_t block);

    std::size_t capacity;
    std::list<std::uint64_t> recency; ///< most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

} // namespace eelgrassbend

#endif
