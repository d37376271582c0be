#ifndef EELGRASSBEND_ROUTING_PROGRESS_TRACKER_H
#define EELGRASSBEND_ROUTING_PROGRESS_TRACKER_H

#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <set>

namespace eelgrassbend {

/// Tracks whether this node's attempts at one endpoint make progress.
class progress_tracker {
public:
    /// Adds the time by which a first or next token is expected.
    void add_deadline(monotonic_time deadline);
    /// Removes a deadline whose token has been received or is no longer expected.
    void remove_deadline(monotonic_time deadline);

    /// Time since the earliest missed deadline; zero if none is missed.
    [[nodiscard]] duration overdue(monotonic_time now) const;

private:
    std::multiset<monotonic_time> deadlines;
};

} // namespace eelgrassbend

#endif
