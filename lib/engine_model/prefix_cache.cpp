#include "prefix_cache.h"

#include <algorithm>

namespace eelgrassbend {

void prefix_cache::touch(std::uint64_t block)
{
    this->recency.splice(this->recency.begin(), this->recency, this->positions.at(block));
}

// A block is useless without its predecessors. Both loops run from the end of the chain to its
// start, so that a block is always more recent than its successors and is evicted after them.

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& chain)
{
    std::size_t found = 0;
    while (found < chain.size() && this->positions.contains(chain[found])) {
        ++found;
    }
    for (std::size_t index = found; index > 0; --index) {
        this->touch(chain[index - 1]);
    }
    return found;
}

prefix_cache_change prefix_cache::insert(const std::vector<std::uint64_t>& chain)
{
    prefix_cache_change change;
    for (std::size_t index = std::min(chain.size(), this->capacity); index > 0; --index) {
        const auto block = chain[index - 1];
        if (this->positions.contains(block)) {
            this->touch(block);
            continue;
        }
        this->recency.push_front(block);
        this->positions.emplace(block, this->recency.begin());
        change.stored.push_back(block);
    }
    std::reverse(change.stored.begin(), change.stored.end());
    while (this->recency.size() > this->capacity) {
        change.evicted.push_back(this->recency.back());
        this->positions.erase(this->recency.back());
        this->recency.pop_back();
    }
    return change;
}

void prefix_cache::clear()
{
    this->recency.clear();
    this->positions.clear();
}

} // namespace eelgrassbend
