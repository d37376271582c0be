#include "eelgrassbend/routing/progress_tracker.h"

#include <algorithm>

namespace eelgrassbend {

void progress_tracker::add_deadline(monotonic_time deadline)
{
    this->deadlines.insert(deadline);
}

void progress_tracker::remove_deadline(monotonic_time deadline)
{
    const auto found = this->deadlines.find(deadline);
    if (found != this->deadlines.end()) {
        this->deadlines.erase(found);
    }
}

duration progress_tracker::overdue(monotonic_time now) const
{
    if (this->deadlines.empty()) {
        return duration::zero();
    }
    return std::max(duration::zero(), now - *this->deadlines.begin());
}

} // namespace eelgrassbend
