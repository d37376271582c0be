#include "eelgrassbend/duties/usage_board.h"

#include <algorithm>

namespace eelgrassbend {

/// Own windows that are told to the others; older ones have been reported.
static constexpr std::size_t own_windows = 4;
/// Windows of the others that are kept; a new holder of the duty may report the last few.
static constexpr std::size_t other_windows = 8;

void usage_board::began(const organisation_id& id, wall_time when)
{
    ++this->counts[this->window_at(when)][id];
    while (this->counts.size() > own_windows) {
        this->counts.erase(this->counts.begin());
    }
}

void usage_board::heard(const node_id& node, std::uint64_t incarnation,
                        const std::map<usage_window, usage_counts>& windows)
{
    for (const auto& [window, told] : windows) {
        auto& known = this->others[window][{node, incarnation}];
        for (const auto& [id, requests] : told) {
            known[id] = std::max(known[id], requests);
        }
    }
    while (this->others.size() > other_windows) {
        this->others.erase(this->others.begin());
    }
}

usage_window usage_board::window_at(wall_time when) const
{
    return usage_window{static_cast<std::uint64_t>(when.time_since_epoch() / this->window_length)};
}

wall_time usage_board::end_of(usage_window window) const
{
    return wall_time{this->window_length * static_cast<std::int64_t>(window.value() + 1)};
}

usage_counts usage_board::total(usage_window window) const
{
    usage_counts sum;
    if (const auto own = this->counts.find(window); own != this->counts.end()) {
        sum = own->second;
    }
    if (const auto found = this->others.find(window); found != this->others.end()) {
        for (const auto& [node, told] : found->second) {
            for (const auto& [id, requests] : told) {
                sum[id] += requests;
            }
        }
    }
    return sum;
}

} // namespace eelgrassbend
