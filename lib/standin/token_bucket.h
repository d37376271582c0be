#ifndef EELGRASSBEND_LIB_STANDIN_TOKEN_BUCKET_H
#define EELGRASSBEND_LIB_STANDIN_TOKEN_BUCKET_H

#include "eelgrassbend/support/units.h"

#include <algorithm>

namespace eelgrassbend::standin {

/// Admits a number of actions a second; at most those of one second at once.
class token_bucket {
public:
    explicit token_bucket(double per_second)
        : per_second(per_second), burst(std::max(per_second, 1.0)), available(this->burst)
    {
    }

    bool take(monotonic_time now)
    {
        const std::chrono::duration<double> passed = now - this->filled_at;
        this->filled_at = now;
        this->available = std::min(this->burst, this->available + passed.count() * per_second);
        if (this->available < 1.0) {
            return false;
        }
        this->available -= 1.0;
        return true;
    }

private:
    double per_second;
    double burst;
    double available;
    monotonic_time filled_at;
};

} // namespace eelgrassbend::standin

#endif
