#ifndef EELGRASSBEND_SUPPORT_VIRTUAL_SCHEDULER_H
#define EELGRASSBEND_SUPPORT_VIRTUAL_SCHEDULER_H

#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <unordered_map>

namespace eelgrassbend {

/// A scheduler whose time moves only when it is told to; used by tests and the bench.
class virtual_scheduler : public scheduler {
public:
    virtual_scheduler();

    [[nodiscard]] monotonic_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;
    timer_id call_after(duration delay, callback action) override;
    void cancel(timer_id timer) override;

    /// Runs the next callback; false if there is none.
    bool run_one();
    /// Runs all callbacks due within `span` and moves the time to its end.
    void run_for(duration span);
    /// Runs until no callback is left or `limit` callbacks have run; answers how many ran.
    std::size_t run_all(std::size_t limit = 1'000'000);

    [[nodiscard]] std::size_t pending() const { return this->queue.size(); }

private:
    struct queue_key {
        monotonic_time due;
        std::uint64_t sequence;
        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    monotonic_time current;
    std::uint64_t next_sequence = 1;
    std::map<queue_key, callback> queue;
    std::unordered_map<std::uint64_t, queue_key> keys;
};

} // namespace eelgrassbend

#endif
