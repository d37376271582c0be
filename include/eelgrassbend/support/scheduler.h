#ifndef EELGRASSBEND_SUPPORT_SCHEDULER_H
#define EELGRASSBEND_SUPPORT_SCHEDULER_H

#include "eelgrassbend/support/strong_type.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <functional>

namespace eelgrassbend {

/// Tells the time.
class clock_source {
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual monotonic_time now() const = 0;
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

using timer_id = strong_number<struct timer_id_tag, std::uint64_t>;

/// Runs callbacks on one thread, in order of time. Never calls back from within `call_after`.
class scheduler : public clock_source {
public:
    using callback = std::function<void()>;

    /// Runs `action` once after `delay`; a delay of zero or less means as soon as possible.
    virtual timer_id call_after(duration delay, callback action) = 0;
    /// Does nothing if the timer has run or is unknown.
    virtual void cancel(timer_id timer) = 0;
};

} // namespace eelgrassbend

#endif
