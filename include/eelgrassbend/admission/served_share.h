#ifndef EELGRASSBEND_ADMISSION_SERVED_SHARE_H
#define EELGRASSBEND_ADMISSION_SERVED_SHARE_H

#include "eelgrassbend/support/units.h"

#include <cmath>

namespace eelgrassbend {

/// Share of recent requests that were admitted. Older requests count less, by an exponential decay.
class served_share {
public:
    explicit served_share(duration memory) : memory(memory) {}

    void record_asked(monotonic_time now)
    {
        this->decay(now);
        this->asked_weight += 1.0;
    }

    void record_admitted(monotonic_time now)
    {
        this->decay(now);
        this->admitted_weight += 1.0;
    }

    /// Number of recent requests, weighted by age.
    [[nodiscard]] double asked(monotonic_time now) const
    {
        return this->asked_weight * this->factor(now);
    }

    /// In (0, 1]; near 1 while little was asked.
    [[nodiscard]] double share(monotonic_time now) const
    {
        const double kept = this->factor(now);
        return (kept * this->admitted_weight + 1.0) / (kept * this->asked_weight + 1.0);
    }

private:
    [[nodiscard]] double factor(monotonic_time now) const
    {
        const std::chrono::duration<double> age{now - this->updated_at};
        return std::exp(-age / std::chrono::duration<double>{this->memory});
    }

    void decay(monotonic_time now)
    {
        const double kept = this->factor(now);
        this->asked_weight *= kept;
        this->admitted_weight *= kept;
        this->updated_at = now;
    }

    duration memory;
    double asked_weight = 0.0;
    double admitted_weight = 0.0;
    monotonic_time updated_at;
};

} // namespace eelgrassbend

#endif
