#ifndef EELGRASSBEND_ROUTING_PROGRESS_WATCH_H
#define EELGRASSBEND_ROUTING_PROGRESS_WATCH_H

#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <set>

namespace eelgrassbend {

/// Whether the attempts on one endpoint make progress, as seen by this node alone.
class progress_watch {
public:
    /// Something is expected at `due`, a first or a next token.
    void expect(monotonic_time due);
    /// What was expected at `due` has come, or is expected no more.
    void settle(monotonic_time due);

    /// How far the most overdue attempt is behind; zero if none is.
    [[nodiscard]] duration overdue(monotonic_time now) const;

private:
    std::multiset<monotonic_time> expected;
};

} // namespace eelgrassbend

#endif
