#ifndef EELGRASSBEND_ROUTING_PREFIX_INDEX_H
#define EELGRASSBEND_ROUTING_PREFIX_INDEX_H

#include "eelgrassbend/endpoints/load_report.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Index of an endpoint in the table of its service.
using endpoint_index = std::uint32_t;

/// Estimates which prompt blocks each endpoint has cached. Bounded; the least recently used blocks
/// are evicted first.
class prefix_index {
public:
    explicit prefix_index(std::size_t capacity = 100'000) : capacity(capacity) {}

    /// Applies a cache event of the endpoint; events may be late and have gaps.
    void apply(endpoint_index endpoint, const cache_event& event);
    /// Records that the endpoint holds, or will soon hold, the first `blocks` blocks of `prefix`.
    void add_expected_blocks(endpoint_index endpoint, const std::vector<std::uint64_t>& prefix,
                             std::size_t blocks);
    /// Updates the confidence after the endpoint was expected to hold all blocks of `expected`
    /// and held the first `held_count` of them.
    void update_confidence(endpoint_index endpoint, const std::vector<std::uint64_t>& expected,
                           std::size_t held_count);
    void remove_endpoint(endpoint_index endpoint);

    /// Estimated number of leading blocks of `prefix` that the endpoint holds.
    [[nodiscard]] std::size_t held_blocks(endpoint_index endpoint,
                                          const std::vector<std::uint64_t>& prefix) const;
    /// Confidence in the entries of this endpoint, from 0 to 1.
    [[nodiscard]] double confidence(endpoint_index endpoint) const;
    /// Up to `limit` endpoints that hold most of `prefix`, in descending order of held blocks.
    [[nodiscard]] std::vector<endpoint_index> find_holders(const std::vector<std::uint64_t>& prefix,
                                                           std::size_t limit) const;

    /// Number of stored pairs of block and endpoint.
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    static constexpr std::size_t max_holders_per_block = 6;

    struct block_key {
        std::uint64_t block = 0;
        endpoint_index endpoint = 0;

        friend bool operator==(const block_key&, const block_key&) = default;
    };

    struct block_key_hash {
        std::size_t operator()(const block_key& key) const
        {
            // Block keys are already hashes; an odd factor distributes the endpoint indices.
            constexpr std::uint64_t odd_factor = 0x9e3779b97f4a7c15;
            return key.block ^ (key.endpoint * odd_factor);
        }
    };

    struct recent_holders {
        std::vector<endpoint_index> endpoints; ///< most recent last
    };

    struct stream_state {
        std::uint64_t next_sequence = 0;
        bool is_started = false;
        std::uint32_t generation = 0; ///< entries of older generations are invalid
        double confidence = 1.0;
    };

    struct entry {
        std::uint32_t generation = 0;
        std::uint32_t stamp = 0;
    };

    void add(endpoint_index endpoint, std::uint64_t block);
    void remove(endpoint_index endpoint, std::uint64_t block);
    void evict_to_capacity();
    [[nodiscard]] bool holds(endpoint_index endpoint, std::uint64_t block) const;
    [[nodiscard]] const std::vector<endpoint_index>* holders_of(std::uint64_t block) const;

    std::size_t capacity;
    std::uint32_t next_stamp = 0;
    absl::flat_hash_map<block_key, entry, block_key_hash> entries;
    absl::flat_hash_map<std::uint64_t, recent_holders> by_block;
    std::unordered_map<endpoint_index, stream_state> streams;
    /// Sorted by stamp; may contain outdated entries.
    std::deque<std::pair<block_key, std::uint32_t>> eviction_order;
};

} // namespace eelgrassbend

#endif
