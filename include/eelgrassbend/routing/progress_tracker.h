#ifndef EELGRASSBEND_ROUTING_PROGRESS_TRACKER_H
#define EELGRASSBEND_ROUTING_PROGRESS_TRACKER_H

#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <set>

namespace eelgrassbend {

/// Whether the attempts on one endpoint make progress, as seen by this node alone.
class progress_tracker {
public:
    /// Something is expected at `due`, a first or a next token.
    void add_deadline(monotonic_time deadline);
    /// What was expected at `due` has come, or is expected no more.
    void remove_deadline(monotonic_time deadline);

    /// How far the most overdue attempt is behind; zero if none is.
    [[nodiscard]] duration overdue(monotonic_time now) const;

private:
    std::multiset<monotonic_time> deadlines;
};

} // namespace eelgrassbend

#endif
