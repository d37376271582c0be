#ifndef EELGRASSBEND_DUTIES_USAGE_TRACKER_H
#define EELGRASSBEND_DUTIES_USAGE_TRACKER_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace eelgrassbend {

/// Index of a wall clock window for which usage is reported.
using usage_window = strong_number<struct usage_window_tag, std::uint64_t>;
/// Number of started requests by organisation.
using usage_counts = std::map<organisation_id, std::uint64_t>;

/// Counts started requests by window: this node's own counts and those reported by other nodes.
/// Counts of failed nodes are retained.
class usage_tracker {
public:
    explicit usage_tracker(duration window_length) : window_length(window_length) {}

    void record_start(const organisation_id& id, wall_time time);
    /// Records the running counts of another node; counts below earlier ones are ignored.
    void record_peer_counts(const node_id& node, std::uint64_t incarnation,
                            const std::map<usage_window, usage_counts>& windows);

    /// Records the running counts of another group of nodes (see `fleet_groups`), from whichever of
    /// its nodes reports them.
    void record_group_counts(const std::string& group,
                             const std::map<usage_window, usage_counts>& windows);

    /// Counts of this node and its peers, without other groups.
    [[nodiscard]] std::map<usage_window, usage_counts> group_counts() const;

    [[nodiscard]] usage_window window_at(wall_time time) const;
    [[nodiscard]] wall_time end_of(usage_window window) const;

    /// This node's counts of the last few windows, which its digest sends to the other nodes.
    [[nodiscard]] std::map<usage_window, usage_counts> own_counts() const { return this->counts; }

    /// Counts of all nodes.
    [[nodiscard]] usage_counts total(usage_window window) const;

private:
    using node_incarnation = std::pair<node_id, std::uint64_t>;

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
    reported_counts<node_incarnation> peers;
    reported_counts<std::string> groups;
};

} // namespace eelgrassbend

#endif
