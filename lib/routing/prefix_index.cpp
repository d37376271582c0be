#include "eelgrassbend/routing/prefix_index.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

// A gap may hide evictions as well as stored blocks, so it lowers the confidence in all entries.
constexpr double gap_confidence_factor = 0.97;
/// Weight of a new sample of the hit ratio.
constexpr double sample_weight = 0.1;
constexpr double min_confidence = 0.2;
/// Outdated positions in the eviction order are dropped beyond this multiple of the capacity.
constexpr std::size_t order_slack = 2;

} // namespace

void prefix_index::apply(endpoint_index endpoint, const cache_event& event)
{
    auto& stream = this->streams[endpoint];
    if (stream.is_started && event.sequence < stream.next_sequence) {
        return;
    }
    if (stream.is_started && event.sequence > stream.next_sequence) {
        stream.confidence = std::max(min_confidence, stream.confidence * gap_confidence_factor);
    }
    stream.is_started = true;
    stream.next_sequence = event.sequence + 1;
    if (event.kind == cache_event_kind::cleared) {
        ++stream.generation;
        stream.confidence = 1.0;
        return;
    }
    for (const auto block : event.blocks) {
        if (event.kind == cache_event_kind::stored) {
            this->add(endpoint, block);
            continue;
        }
        this->remove(endpoint, block);
    }
    this->evict_to_capacity();
}

void prefix_index::add_expected_blocks(endpoint_index endpoint,
                                       const std::vector<std::uint64_t>& prefix, std::size_t blocks)
{
    for (std::size_t index = 0; index < std::min(blocks, prefix.size()); ++index) {
        this->add(endpoint, prefix[index]);
    }
    this->evict_to_capacity();
}

void prefix_index::update_confidence(endpoint_index endpoint,
                                     const std::vector<std::uint64_t>& expected,
                                     std::size_t held_count)
{
    // The attempt has stored its prompt in the meantime, so the block entries remain.
    if (expected.empty()) {
        return;
    }
    auto& confidence = this->streams[endpoint].confidence;
    const double hit_ratio = static_cast<double>(std::min(held_count, expected.size())) /
                             static_cast<double>(expected.size());
    confidence = std::max(min_confidence, confidence + (hit_ratio - confidence) * sample_weight);
}

void prefix_index::remove_endpoint(endpoint_index endpoint)
{
    auto& stream = this->streams[endpoint];
    const auto generation = stream.generation + 1;
    stream = {};
    stream.generation = generation;
}

std::size_t prefix_index::held_blocks(endpoint_index endpoint,
                                      const std::vector<std::uint64_t>& prefix) const
{
    // Blocks are chained, so an endpoint that holds a block also holds all previous ones.
    std::size_t low = 0;
    std::size_t high = prefix.size();
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        if (this->holds(endpoint, prefix[middle])) {
            low = middle + 1;
            continue;
        }
        high = middle;
    }
    return low;
}

double prefix_index::confidence(endpoint_index endpoint) const
{
    const auto found = this->streams.find(endpoint);
    return found == this->streams.end() ? 1.0 : found->second.confidence;
}

std::vector<endpoint_index> prefix_index::find_holders(const std::vector<std::uint64_t>& prefix,
                                                       std::size_t limit) const
{
    std::size_t low = 0;
    std::size_t high = prefix.size();
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        if (this->holders_of(prefix[middle]) != nullptr) {
            low = middle + 1;
            continue;
        }
        high = middle;
    }
    std::vector<endpoint_index> chosen;
    for (std::size_t depth = low; depth > 0 && chosen.size() < limit; depth /= 2) {
        const auto* endpoints = this->holders_of(prefix[depth - 1]);
        if (endpoints == nullptr) {
            continue;
        }
        for (auto next = endpoints->rbegin(); next != endpoints->rend(); ++next) {
            const bool known = std::ranges::find(chosen, *next) != chosen.end();
            if (!known && chosen.size() < limit && this->holds(*next, prefix[depth - 1])) {
                chosen.push_back(*next);
            }
        }
    }
    return chosen;
}

void prefix_index::add(endpoint_index endpoint, std::uint64_t block)
{
    const block_key key{block, endpoint};
    const auto stamp = this->next_stamp++;
    this->entries[key] = {this->streams[endpoint].generation, stamp};
    this->eviction_order.emplace_back(key, stamp);
    auto& recent = this->by_block[block].endpoints;
    std::erase(recent, endpoint);
    if (recent.size() == max_holders_per_block) {
        recent.erase(recent.begin());
    }
    recent.push_back(endpoint);
}

void prefix_index::remove(endpoint_index endpoint, std::uint64_t block)
{
    this->entries.erase({block, endpoint});
    const auto found = this->by_block.find(block);
    if (found == this->by_block.end()) {
        return;
    }
    std::erase(found->second.endpoints, endpoint);
    if (found->second.endpoints.empty()) {
        this->by_block.erase(found);
    }
}

void prefix_index::evict_to_capacity()
{
    while (this->entries.size() > this->capacity ||
           this->eviction_order.size() > this->capacity * order_slack) {
        const auto [key, stamp] = this->eviction_order.front();
        this->eviction_order.pop_front();
        const auto found = this->entries.find(key);
        if (found != this->entries.end() && found->second.stamp == stamp) {
            this->remove(key.endpoint, key.block);
        }
    }
}

bool prefix_index::holds(endpoint_index endpoint, std::uint64_t block) const
{
    const auto found = this->entries.find({block, endpoint});
    if (found == this->entries.end()) {
        return false;
    }
    const auto stream = this->streams.find(endpoint);
    return stream == this->streams.end() || found->second.generation == stream->second.generation;
}

const std::vector<endpoint_index>* prefix_index::holders_of(std::uint64_t block) const
{
    const auto found = this->by_block.find(block);
    return found == this->by_block.end() ? nullptr : &found->second.endpoints;
}

} // namespace eelgrassbend
