#include "eelgrassbend/routing/progress_watch.h"

#include <algorithm>

namespace eelgrassbend {

void progress_watch::expect(monotonic_time due)
{
    this->expected.insert(due);
}

void progress_watch::settle(monotonic_time due)
{
    const auto found = this->expected.find(due);
    if (found != this->expected.end()) {
        this->expected.erase(found);
    }
}

duration progress_watch::overdue(monotonic_time now) const
{
    if (this->expected.empty()) {
        return duration::zero();
    }
    return std::max(duration::zero(), now - *this->expected.begin());
}

} // namespace eelgrassbend
