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

// Counts only rise, so a source that has counted less than another before it takes nothing away.
template <typename Source>
void usage_board::put(told_counts<Source>& told, const Source& from,
                      const std::map<usage_window, usage_counts>& windows)
{
    for (const auto& [window, counts] : windows) {
        auto& known = told[window][from];
        for (const auto& [id, requests] : counts) {
            known[id] = std::max(known[id], requests);
        }
    }
    while (told.size() > other_windows) {
        told.erase(told.begin());
    }
}

void usage_board::heard(const node_id& node, std::uint64_t incarnation,
                        const std::map<usage_window, usage_counts>& windows)
{
    put(this->others, source{node, incarnation}, windows);
}

void usage_board::heard_group(const std::string& group,
                              const std::map<usage_window, usage_counts>& windows)
{
    put(this->groups, group, windows);
}

usage_window usage_board::window_at(wall_time when) const
{
    return usage_window{static_cast<std::uint64_t>(when.time_since_epoch() / this->window_length)};
}

wall_time usage_board::end_of(usage_window window) const
{
    return wall_time{this->window_length * static_cast<std::int64_t>(window.value() + 1)};
}

template <typename Source>
void usage_board::add_up(const told_counts<Source>& told, usage_window window, usage_counts& sum)
{
    const auto found = told.find(window);
    if (found == told.end()) {
        return;
    }
    for (const auto& [from, counts] : found->second) {
        for (const auto& [id, requests] : counts) {
            sum[id] += requests;
        }
    }
}

usage_counts usage_board::group_total(usage_window window) const
{
    usage_counts sum;
    if (const auto own = this->counts.find(window); own != this->counts.end()) {
        sum = own->second;
    }
    add_up(this->others, window, sum);
    return sum;
}

std::map<usage_window, usage_counts> usage_board::group_counts() const
{
    std::map<usage_window, usage_counts> totals;
    for (const auto& [window, counts] : this->counts) {
        totals[window];
    }
    for (const auto& [window, told] : this->others) {
        totals[window];
    }
    for (auto& [window, sum] : totals) {
        sum = this->group_total(window);
    }
    return totals;
}

usage_counts usage_board::total(usage_window window) const
{
    auto sum = this->group_total(window);
    add_up(this->groups, window, sum);
    return sum;
}

} // namespace eelgrassbend
