#include "eelgrassbend/support/virtual_scheduler.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Wall time at the start of virtual time: 2026-01-01T00:00:00Z.
static constexpr wall_time virtual_epoch{std::chrono::seconds{1'767'225'600}};

virtual_scheduler::virtual_scheduler() : current(duration::zero()) {}

monotonic_time virtual_scheduler::now() const
{
    return this->current;
}

wall_time virtual_scheduler::wall_now() const
{
    return virtual_epoch + this->current.time_since_epoch();
}

timer_id virtual_scheduler::call_after(duration delay, callback action)
{
    const auto due = this->current + std::max(delay, duration::zero());
    const queue_key key{due, this->next_sequence++};
    this->queue.emplace(key, std::move(action));
    this->keys.emplace(key.sequence, key);
    return timer_id{key.sequence};
}

void virtual_scheduler::cancel(timer_id timer)
{
    const auto found = this->keys.find(timer.value());
    if (found == this->keys.end()) {
        return;
    }
    this->queue.erase(found->second);
    this->keys.erase(found);
}

bool virtual_scheduler::run_one()
{
    if (this->queue.empty()) {
        return false;
    }
    auto next = this->queue.extract(this->queue.begin());
    this->keys.erase(next.key().sequence);
    this->current = next.key().due;
    next.mapped()();
    return true;
}

void virtual_scheduler::run_for(duration span)
{
    const auto end = this->current + span;
    while (!this->queue.empty() && this->queue.begin()->first.due <= end) {
        this->run_one();
    }
    this->current = end;
}

std::size_t virtual_scheduler::run_all(std::size_t limit)
{
    std::size_t count = 0;
    while (count < limit && this->run_one()) {
        ++count;
    }
    return count;
}

} // namespace eelgrassbend
