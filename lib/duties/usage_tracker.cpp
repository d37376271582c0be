#include "eelgrassbend/duties/usage_tracker.h"

#include <algorithm>

namespace eelgrassbend {

/// Own windows that are sent to other nodes; older ones have been reported.
static constexpr std::size_t max_own_windows = 4;
/// Windows stored for other nodes; a new lease holder may have to report the last few.
static constexpr std::size_t max_reported_windows = 8;

void usage_tracker::record_start(const organisation_id& id, wall_time time)
{
    ++this->counts[this->window_at(time)][id];
    while (this->counts.size() > max_own_windows) {
        this->counts.erase(this->counts.begin());
    }
}

// Counts only grow, so a report with lower counts than an earlier one does not reduce them.
template <typename Source>
void usage_tracker::merge_counts(reported_counts<Source>& reported, const Source& from,
                                 const std::map<usage_window, usage_counts>& windows)
{
    for (const auto& [window, counts] : windows) {
        auto& merged = reported[window][from];
        for (const auto& [id, requests] : counts) {
            merged[id] = std::max(merged[id], requests);
        }
    }
    while (reported.size() > max_reported_windows) {
        reported.erase(reported.begin());
    }
}

void usage_tracker::record_peer_counts(const node_id& node, std::uint64_t incarnation,
                                       const std::map<usage_window, usage_counts>& windows)
{
    merge_counts(this->peers, node_incarnation{node, incarnation}, windows);
}

void usage_tracker::record_group_counts(const std::string& group,
                                        const std::map<usage_window, usage_counts>& windows)
{
    merge_counts(this->groups, group, windows);
}

usage_window usage_tracker::window_at(wall_time time) const
{
    return usage_window{static_cast<std::uint64_t>(time.time_since_epoch() / this->window_length)};
}

wall_time usage_tracker::end_of(usage_window window) const
{
    return wall_time{this->window_length * static_cast<std::int64_t>(window.value() + 1)};
}

template <typename Source>
void usage_tracker::add_counts(const reported_counts<Source>& reported, usage_window window,
                               usage_counts& sum)
{
    const auto found = reported.find(window);
    if (found == reported.end()) {
        return;
    }
    for (const auto& [from, counts] : found->second) {
        for (const auto& [id, requests] : counts) {
            sum[id] += requests;
        }
    }
}

usage_counts usage_tracker::group_total(usage_window window) const
{
    usage_counts sum;
    if (const auto own = this->counts.find(window); own != this->counts.end()) {
        sum = own->second;
    }
    add_counts(this->peers, window, sum);
    return sum;
}

std::map<usage_window, usage_counts> usage_tracker::group_counts() const
{
    std::map<usage_window, usage_counts> totals;
    for (const auto& [window, counts] : this->counts) {
        totals[window];
    }
    for (const auto& [window, reported] : this->peers) {
        totals[window];
    }
    for (auto& [window, sum] : totals) {
        sum = this->group_total(window);
    }
    return totals;
}

usage_counts usage_tracker::total(usage_window window) const
{
    auto sum = this->group_total(window);
    add_counts(this->groups, window, sum);
    return sum;
}

} // namespace eelgrassbend
