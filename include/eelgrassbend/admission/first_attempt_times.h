#ifndef EELGRASSBEND_ADMISSION_FIRST_ATTEMPT_TIMES_H
#define EELGRASSBEND_ADMISSION_FIRST_ATTEMPT_TIMES_H

#include "eelgrassbend/support/units.h"

#include <array>
#include <cstddef>
#include <optional>

namespace eelgrassbend {

/// Learns the time left that first attempts of a route state. Callers of a route use one time
/// limit, so first attempts state the same value and later attempts scattered smaller ones.
class first_attempt_times {
public:
    void record(duration stated);

    /// Time that the caller has spent before this attempt; empty if it is not known, zero for a
    /// first attempt.
    [[nodiscard]] std::optional<duration> time_spent(duration stated) const;

private:
    void learn();

    std::array<duration, 64> recent{};
    std::size_t count = 0;
    std::optional<duration> usual; ///< stated by first attempts
};

} // namespace eelgrassbend

#endif
