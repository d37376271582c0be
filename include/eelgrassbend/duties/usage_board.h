#ifndef EELGRASSBEND_DUTIES_USAGE_BOARD_H
#define EELGRASSBEND_DUTIES_USAGE_BOARD_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <utility>

namespace eelgrassbend {

/// Number of a window of the wall clock for which usage is reported.
using usage_window = strong_number<struct usage_window_tag, std::uint64_t>;
/// Requests of each organisation that began to run.
using usage_counts = std::map<organisation_id, std::uint64_t>;

/// Counts the requests that began to run, by window: this node's own, and what the others say of
/// theirs. Counts of a node that has died stay.
class usage_board {
public:
    explicit usage_board(duration window_length) : window_length(window_length) {}

    void began(const organisation_id& id, wall_time when);
    /// Running counts of another node; lower counts than heard before are ignored.
    void heard(const node_id& node, std::uint64_t incarnation,
               const std::map<usage_window, usage_counts>& windows);

    [[nodiscard]] usage_window window_at(wall_time when) const;
    [[nodiscard]] wall_time end_of(usage_window window) const;

    /// This node's counts of its newest windows, for its digest.
    [[nodiscard]] std::map<usage_window, usage_counts> own() const { return this->counts; }

    /// Counts of all nodes.
    [[nodiscard]] usage_counts total(usage_window window) const;

private:
    using source = std::pair<node_id, std::uint64_t>;

    duration window_length;
    std::map<usage_window, usage_counts> counts;
    std::map<usage_window, std::map<source, usage_counts>> others;
};

} // namespace eelgrassbend

#endif
