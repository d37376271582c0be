#include "eelgrassbend/routing/candidate_index.h"

#include <algorithm>

namespace eelgrassbend {

static std::size_t level_of(double load)
{
    // The last level is for loads of 1 and more; the others divide [0, 1) evenly.
    constexpr double span = candidate_index::load_levels - 1;
    return static_cast<std::size_t>(std::clamp(load * span, 0.0, span));
}

void candidate_index::place(endpoint_index endpoint, money price, double load)
{
    if (this->locations.size() <= endpoint) {
        this->locations.resize(endpoint + 1);
    }
    const auto target = level_of(load);
    const auto& current = this->locations[endpoint];
    if (current.is_placed && current.price == price && current.load_level == target) {
        return;
    }
    this->remove(endpoint);
    auto& members = this->groups[price][target];
    this->locations[endpoint] = {true, price, target, members.size()};
    members.push_back(endpoint);
    ++this->count;
}

void candidate_index::remove(endpoint_index endpoint)
{
    if (endpoint >= this->locations.size() || !this->locations[endpoint].is_placed) {
        return;
    }
    auto& place = this->locations[endpoint];
    auto& members = this->groups[place.price][place.load_level];
    const auto last = members.back();
    members[place.position] = last;
    this->locations[last].position = place.position;
    members.pop_back();
    place.is_placed = false;
    --this->count;
}

void candidate_index::sample(random_source& random, std::size_t per_price, std::size_t limit,
                             std::vector<endpoint_index>& chosen) const
{
    std::size_t total = 0;
    for (const auto& [price, levels] : this->groups) {
        std::size_t taken = 0;
        for (const auto& members : levels) {
            const auto wanted = std::min({members.size(), per_price - taken, limit - total});
            if (wanted == 0) {
                continue;
            }
            // A window at a random position costs one random number, whatever its size.
            const auto start = random_below(random, members.size());
            for (std::size_t step = 0; step < wanted; ++step) {
                chosen.push_back(members[(start + step) % members.size()]);
            }
            taken += wanted;
            total += wanted;
        }
    }
}

} // namespace eelgrassbend
