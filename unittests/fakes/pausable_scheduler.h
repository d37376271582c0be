#ifndef EELGRASSBEND_UNITTESTS_FAKES_PAUSABLE_SCHEDULER_H
#define EELGRASSBEND_UNITTESTS_FAKES_PAUSABLE_SCHEDULER_H

#include "eelgrassbend/support/scheduler.h"

#include <utility>
#include <vector>

namespace eelgrassbend::fakes {

/// The scheduler of one process that can be paused: what falls due in the pause runs after it.
class pausable_scheduler : public scheduler {
public:
    explicit pausable_scheduler(scheduler& time) : time(time) {}

    [[nodiscard]] monotonic_time now() const override { return this->time.now(); }

    [[nodiscard]] wall_time wall_now() const override { return this->time.wall_now(); }

    timer_id call_after(duration delay, callback action) override
    {
        return this->time.call_after(
            delay, [this, action = std::move(action)]() mutable { this->run(std::move(action)); });
    }

    void cancel(timer_id timer) override { this->time.cancel(timer); }

    /// Runs `action` now, or after the pause.
    void run(callback action)
    {
        if (this->is_paused) {
            this->held.push_back(std::move(action));
            return;
        }
        action();
    }

    void pause() { this->is_paused = true; }

    void resume()
    {
        this->is_paused = false;
        for (auto& action : std::exchange(this->held, {})) {
            action();
        }
    }

    [[nodiscard]] bool paused() const { return this->is_paused; }

private:
    scheduler& time;
    bool is_paused = false;
    std::vector<callback> held;
};

} // namespace eelgrassbend::fakes

#endif
