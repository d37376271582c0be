#include "eelgrassbend/net/asio_scheduler.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <time.h>

#include <unordered_map>

namespace eelgrassbend {

struct asio_scheduler::state {
    explicit state(boost::asio::io_context& context) : context(context) {}

    boost::asio::io_context& context;
    std::uint64_t next = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<boost::asio::steady_timer>> timers;
};

asio_scheduler::asio_scheduler(boost::asio::io_context& context)
    : shared(std::make_shared<state>(context))
{
}

asio_scheduler::~asio_scheduler() = default;

// CLOCK_BOOTTIME includes the time that the machine is suspended, so ages are not underestimated.
monotonic_time asio_scheduler::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return monotonic_time{std::chrono::seconds{time.tv_sec} +
                          std::chrono::nanoseconds{time.tv_nsec}};
}

wall_time asio_scheduler::wall_now() const
{
    return std::chrono::system_clock::now();
}

timer_id asio_scheduler::call_after(duration delay, callback action)
{
    const auto id = this->shared->next++;
    auto timer = std::make_unique<boost::asio::steady_timer>(this->shared->context);
    timer->expires_after(delay);
    timer->async_wait([weak = std::weak_ptr<state>(this->shared), id,
                       action = std::move(action)](boost::system::error_code failure) {
        const auto owner = weak.lock();
        if (failure || !owner || owner->timers.erase(id) == 0) {
            return;
        }
        action();
    });
    this->shared->timers.emplace(id, std::move(timer));
    return timer_id{id};
}

void asio_scheduler::cancel(timer_id timer)
{
    this->shared->timers.erase(timer.value());
}

} // namespace eelgrassbend
