#ifndef EELGRASSBEND_DUTIES_USAGE_TRACKER_H
#define EELGRASSBEND_DUTIES_USAGE_TRACKER_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace eelgrassbend {

/// Number of a window of the wall clock for which usage is reported.
using usage_window = strong_number<struct usage_window_tag, std::uint64_t>;
/// Requests of each organisation that began to run.
using usage_counts = std::map<organisation_id, std::uint64_t>;

/// Counts the requests that began to run, by window: this node's own, and what the others say of
/// theirs. Counts of a node that has died stay.
class usage_tracker {
public:
    explicit usage_tracker(duration window_length) : window_length(window_length) {}

    void record_start(const organisation_id& id, wall_time time);
    /// Running counts of another node; lower counts than heard before are ignored.
    void record_peer_counts(const node_id& node, std::uint64_t incarnation,
                            const std::map<usage_window, usage_counts>& windows);

    /// Counts of a whole group of nodes, by whichever of them speaks for it.
    void record_group_counts(const std::string& group,
                             const std::map<usage_window, usage_counts>& windows);

    /// Counts of this node and of those that tell it theirs, without other groups.
    [[nodiscard]] std::map<usage_window, usage_counts> group_counts() const;

    [[nodiscard]] usage_window window_at(wall_time time) const;
    [[nodiscard]] wall_time end_of(usage_window window) const;

    /// This node's counts of its newest windows, for its digest.
    [[nodiscard]] std::map<usage_window, usage_counts> own_counts() const { return this->counts; }

    /// Counts of all nodes.
    [[nodiscard]] usage_counts total(usage_window window) const;

private:
    using source = std::pair<node_id, std::uint64_t>;

    template <typename Source>
    using reported_counts = std::map<usage_window, std::map<Source, usage_counts>>;

    template <typename Source>
    static void merge_counts(reported_counts<Source>& reported, const Source& from,
                             const std::map<usage_window, usage_counts>& windows);
    template <typename Source>
    static void add_counts(const reported_counts<Source>& reported, usage_window window,
                           usage_counts& sum);
    [[nodiscard]] usage_counts group_total(usage_window window) const;

    duration window_length;
    std::map<usage_window, usage_counts> counts;
    reported_counts<source> peers;
    reported_counts<std::string> groups;
};

} // namespace eelgrassbend

#endif
