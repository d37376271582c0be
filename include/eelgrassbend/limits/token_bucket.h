#ifndef EELGRASSBEND_LIMITS_TOKEN_BUCKET_H
#define EELGRASSBEND_LIMITS_TOKEN_BUCKET_H

#include "eelgrassbend/support/units.h"

namespace eelgrassbend {

/// Limits a rate with a burst.
class token_bucket {
public:
    /// Sets `rate` units per second and at most `burst` at once; the level is kept, up to the new
    /// burst.
    void configure(monotonic_time now, double rate, double burst);
    /// Time until `amount` is available; zero if it is.
    [[nodiscard]] duration wait_for(monotonic_time now, double amount) const;
    /// Takes `amount`; the level may become negative.
    void take(monotonic_time now, double amount);

private:
    [[nodiscard]] double level_at(monotonic_time now) const;

    double rate = 0.0;
    double burst = 0.0;
    double level = 0.0;
    bool is_configured = false;
    monotonic_time updated_at;
};

} // namespace eelgrassbend

#endif
