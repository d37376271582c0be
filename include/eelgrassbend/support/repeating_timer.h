#ifndef EELGRASSBEND_SUPPORT_REPEATING_TIMER_H
#define EELGRASSBEND_SUPPORT_REPEATING_TIMER_H

#include "eelgrassbend/support/scheduler.h"

#include <optional>

namespace eelgrassbend {

/// Calls back at equal pauses from its start until it is destroyed.
class repeating_timer {
public:
    repeating_timer(scheduler& time, duration pause) : time(time), pause(pause) {}

    ~repeating_timer();
    repeating_timer(const repeating_timer&) = delete;
    repeating_timer& operator=(const repeating_timer&) = delete;

    /// The first call is after one pause. Must not be called twice.
    void start(scheduler::callback action);

private:
    void arm();

    scheduler& time;
    duration pause;
    scheduler::callback action;
    std::optional<timer_id> timer;
};

} // namespace eelgrassbend

#endif
