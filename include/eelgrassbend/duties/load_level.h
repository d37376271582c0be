#ifndef EELGRASSBEND_DUTIES_LOAD_LEVEL_H
#define EELGRASSBEND_DUTIES_LOAD_LEVEL_H

#include "eelgrassbend/support/units.h"

#include <deque>
#include <optional>
#include <utility>

namespace eelgrassbend {

/// Follows the rate of a running total. A clear rise counts at once; small changes are averaged and
/// a decline counts slowly, so that noise causes no orders. A single jump of the total, as after a
/// gap in the reports of other nodes, counts only in part.
class load_level {
public:
    /// Records the running total, in seconds of work.
    void update(double total, monotonic_time now);

    /// Discards what was averaged before, in favour of the present rate.
    void settle();

    /// Seconds of work per second.
    [[nodiscard]] double value() const { return this->level; }

private:
    /// Work per second over the last `span`.
    [[nodiscard]] double rate_over(duration span) const;

    std::deque<std::pair<monotonic_time, double>> samples; ///< time and work counted until then
    std::optional<monotonic_time> started_at;
    double last_total = 0.0;
    double counted = 0.0;
    double level = 0.0;
};

} // namespace eelgrassbend

#endif
