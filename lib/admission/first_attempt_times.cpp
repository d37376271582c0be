#include "eelgrassbend/admission/first_attempt_times.h"

#include <algorithm>
#include <functional>

namespace eelgrassbend {

/// First attempts of a route state times that differ by less than this.
static constexpr std::chrono::milliseconds tolerance{30};
/// Least part of the recent requests that are first attempts. A caller tries at most three times.
static constexpr std::size_t least_part = 4;
static constexpr std::size_t min_count = 8;
/// Requests between two evaluations, which sort the recent times.
static constexpr std::size_t learning_interval = 8;

void first_attempt_times::record(duration stated)
{
    this->recent[this->count++ % this->recent.size()] = stated;
    if (this->count % learning_interval == 0) {
        this->learn();
    }
}

// The largest time that enough others are close to.
void first_attempt_times::learn()
{
    const auto known = std::min(this->count, this->recent.size());
    if (known < min_count) {
        return;
    }
    auto sorted = this->recent;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(known);
    std::sort(sorted.begin(), end, std::greater<>{});
    this->usual.reset();
    for (auto top = sorted.begin(); top != end; ++top) {
        const auto close = std::find_if(
            top, end, [&](duration other) { return *top - other > duration{tolerance}; });
        if (static_cast<std::size_t>(close - top) >= known / least_part) {
            this->usual = *top;
            return;
        }
    }
}

std::optional<duration> first_attempt_times::time_spent(duration stated) const
{
    if (!this->usual) {
        return std::nullopt;
    }
    const auto spent = *this->usual - stated;
    return spent <= duration{tolerance} ? duration::zero() : spent;
}

} // namespace eelgrassbend
