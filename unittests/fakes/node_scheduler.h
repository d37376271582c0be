#ifndef EELGRASSBEND_UNITTESTS_FAKES_NODE_SCHEDULER_H
#define EELGRASSBEND_UNITTESTS_FAKES_NODE_SCHEDULER_H

#include "eelgrassbend/support/virtual_scheduler.h"

#include <map>
#include <utility>

namespace eelgrassbend {

/// One node's view of a shared virtual time. The node can be paused and killed.
class node_scheduler : public scheduler {
public:
    explicit node_scheduler(virtual_scheduler& base) : base(base) {}

    duration wall_offset{}; ///< how far this node's wall clock is ahead

    [[nodiscard]] monotonic_time now() const override { return this->base.now(); }

    [[nodiscard]] wall_time wall_now() const override
    {
        return this->base.wall_now() + this->wall_offset;
    }

    timer_id call_after(duration delay, callback action) override
    {
        const auto number = this->next++;
        this->waiting.emplace(number, std::move(action));
        this->base.call_after(delay, [this, number] { this->deliver(number); });
        return timer_id{number};
    }

    void cancel(timer_id timer) override { this->waiting.erase(timer.value()); }

    void pause() { this->paused = true; }

    void resume()
    {
        this->paused = false;
        for (const auto& [order, number] : std::exchange(this->missed, {})) {
            this->base.call_after(duration::zero(), [this, number = number] { deliver(number); });
        }
    }

    /// No callback of the node ever runs again.
    void kill() { this->dead = true; }

    [[nodiscard]] bool killed() const { return this->dead; }

private:
    void deliver(std::uint64_t number)
    {
        if (this->dead) {
            this->waiting.erase(number);
            return;
        }
        if (this->paused) {
            this->missed.emplace(this->missed.size(), number);
            return;
        }
        auto found = this->waiting.extract(number);
        if (!found.empty()) {
            found.mapped()();
        }
    }

    virtual_scheduler& base;
    std::map<std::uint64_t, callback> waiting;
    std::map<std::size_t, std::uint64_t> missed; ///< due while the node was paused, in order
    std::uint64_t next = 1;
    bool paused = false;
    bool dead = false;
};

} // namespace eelgrassbend

#endif
