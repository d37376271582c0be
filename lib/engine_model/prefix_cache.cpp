#include "prefix_cache.h"

#include <algorithm>

namespace eelgrassbend {

void prefix_cache::touch(std::uint64_t block)
{
    this->order.splice(this->order.begin(), this->order, this->places.at(block));
}

// A block is of no use without those before it. Both loops go from the end of the chain to its
// start, so that a block is always more recent than the ones behind it and is evicted after them.

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& chain)
{
    std::size_t found = 0;
    while (found < chain.size() && this->places.contains(chain[found])) {
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
        if (this->places.contains(block)) {
            this->touch(block);
            continue;
        }
        this->order.push_front(block);
        this->places.emplace(block, this->order.begin());
        change.stored.push_back(block);
    }
    std::reverse(change.stored.begin(), change.stored.end());
    while (this->order.size() > this->capacity) {
        change.evicted.push_back(this->order.back());
        this->places.erase(this->order.back());
        this->order.pop_back();
    }
    return change;
}

void prefix_cache::clear()
{
    this->order.clear();
    this->places.clear();
}

} // namespace eelgrassbend
