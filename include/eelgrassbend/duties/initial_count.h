#ifndef EELGRASSBEND_DUTIES_INITIAL_COUNT_H
#define EELGRASSBEND_DUTIES_INITIAL_COUNT_H

#include "eelgrassbend/support/units.h"

#include <optional>

namespace eelgrassbend {

/// Determines how many endpoints of a service existed when this node started. Endpoints register
/// over several seconds, so the number is known once no further one has registered for a while.
class initial_count {
public:
    /// Records the number of endpoints that had registered at a time.
    void observe(int registered, monotonic_time as_of);

    /// Empty while endpoints may still register.
    [[nodiscard]] std::optional<int> count() const
    {
        return this->is_known ? std::optional{this->highest} : std::nullopt;
    }

private:
    int highest = 0;
    bool is_known = false;
    std::optional<monotonic_time> first_observed_at;
    std::optional<monotonic_time> increased_at;
};

} // namespace eelgrassbend

#endif
