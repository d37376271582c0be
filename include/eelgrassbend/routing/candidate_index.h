#ifndef EELGRASSBEND_ROUTING_CANDIDATE_INDEX_H
#define EELGRASSBEND_ROUTING_CANDIDATE_INDEX_H

#include "eelgrassbend/routing/prefix_index.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace eelgrassbend {

/// Endpoints by price and load, from which a bounded number of good candidates is drawn.
class candidate_index {
public:
    static constexpr std::size_t load_levels = 16;

    /// Adds the endpoint or moves it; `load` is the share of its slots in use, and may exceed 1.
    void place(endpoint_index endpoint, money price, double load);
    void remove(endpoint_index endpoint);
    /// Adds at most `per_price` endpoints of the lowest loads of each price to `chosen`, and at
    /// most `limit` in all; those of one load level at random.
    void sample(random_source& random, std::size_t per_price, std::size_t limit,
                std::vector<endpoint_index>& chosen) const;

    [[nodiscard]] std::size_t size() const { return this->count; }

private:
    using level = std::vector<endpoint_index>;
    using price_group = std::array<level, load_levels>;

    struct location {
        bool is_placed = false;
        money price;
        std::size_t load_level = 0;
        std::size_t position = 0;
    };

    std::map<money, price_group> groups;
    std::vector<location> locations;
    std::size_t count = 0;
};

} // namespace eelgrassbend

#endif
