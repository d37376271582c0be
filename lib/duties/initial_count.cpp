#include "eelgrassbend/duties/initial_count.h"

namespace eelgrassbend {

/// Time without a new registration after which all endpoints count as registered.
static constexpr std::chrono::seconds quiet_time{3};
/// Upper bound of the wait. Endpoints that the platform replaces in the meantime also register and
/// would extend it without end.
static constexpr std::chrono::seconds max_wait{12};
/// Without any registration, endpoints may still be starting.
static constexpr std::chrono::seconds empty_wait{6};

void initial_count::observe(int registered, monotonic_time as_of)
{
    if (this->is_known) {
        return;
    }
    if (!this->first_observed_at) {
        this->first_observed_at = as_of;
    }
    if (registered > this->highest) {
        this->highest = registered;
        this->increased_at = as_of;
    }
    const auto waited = as_of - *this->first_observed_at;
    this->is_known =
        waited >= max_wait ||
        (this->increased_at ? as_of - *this->increased_at >= quiet_time : waited >= empty_wait);
}

} // namespace eelgrassbend
