#include "eelgrassbend/limits/token_bucket.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Greatest wait that is returned, also where the rate is zero.
constexpr duration max_wait = std::chrono::hours{1};

} // namespace

void token_bucket::configure(monotonic_time now, double rate, double burst)
{
    const double previous_level = this->is_configured ? this->level_at(now) : burst;
    this->rate = rate;
    this->burst = burst;
    this->level = std::min(previous_level, burst);
    this->is_configured = true;
    this->updated_at = now;
}

duration token_bucket::wait_for(monotonic_time now, double amount) const
{
    // A request above the burst would never be admitted, so it waits for a full bucket.
    const double missing = std::min(amount, this->burst) - this->level_at(now);
    if (missing <= 0.0) {
        return duration::zero();
    }
    if (this->rate <= 0.0) {
        return max_wait;
    }
    const std::chrono::duration<double> wait{missing / this->rate};
    return std::min(max_wait, std::chrono::duration_cast<duration>(wait) + duration{1});
}

void token_bucket::take(monotonic_time now, double amount)
{
    this->level = this->level_at(now) - amount;
    this->updated_at = now;
}

double token_bucket::level_at(monotonic_time now) const
{
    const double seconds = std::chrono::duration<double>{now - this->updated_at}.count();
    return std::min(this->burst, this->level + this->rate * seconds);
}

} // namespace eelgrassbend
