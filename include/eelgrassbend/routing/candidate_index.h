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

/// Index of endpoints by price and load, for sampling a bounded number of candidates.
class candidate_index {
public:
    static constexpr std::size_t load_levels = 16;

    /// Adds or updates the endpoint; `load` is the share of its slots in use and may exceed 1.
    void place(endpoint_index endpoint, money price, double load);
    void remove(endpoint_index endpoint);
    /// Appends to `chosen` at most `per_price` of the least loaded endpoints of each price, and
    /// at most `limit` in total. Endpoints of one load level are selected at random.
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
