#include "eelgrassbend/standin/event_loop.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <unordered_map>

namespace eelgrassbend::standin {

class event_loop::implementation {
public:
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{this->context};
    /// Entries are erased when their timer runs or is cancelled.
    std::unordered_map<std::uint64_t, boost::asio::steady_timer> timers;
    std::uint64_t next_timer = 1;
};

event_loop::event_loop() : inner(std::make_unique<implementation>()) {}

event_loop::~event_loop() = default;

monotonic_time event_loop::now() const
{
    return monotonic_time{std::chrono::steady_clock::now().time_since_epoch()};
}

wall_time event_loop::wall_now() const
{
    return wall_time{std::chrono::system_clock::now().time_since_epoch()};
}

timer_id event_loop::call_after(duration delay, callback action)
{
    const auto id = this->inner->next_timer++;
    auto [place, added] = this->inner->timers.try_emplace(id, this->inner->context, delay);
    place->second.async_wait([this, id, run = std::move(action)](const auto&) {
        // A timer that has expired may wait among the completed operations, where it cannot be
        // cancelled any more; the missing entry tells.
        if (this->inner->timers.erase(id) > 0) {
            run();
        }
    });
    return timer_id{id};
}

void event_loop::cancel(timer_id timer)
{
    this->inner->timers.erase(timer.value());
}

void event_loop::run()
{
    const auto guard = boost::asio::make_work_guard(this->inner->context);
    this->inner->context.run();
}

void event_loop::stop()
{
    this->inner->context.stop();
}

void event_loop::stop_on_signals()
{
    this->inner->signals.add(SIGTERM);
    this->inner->signals.add(SIGINT);
    this->inner->signals.async_wait([this](const auto& failure, int) {
        if (!failure) {
            this->stop();
        }
    });
}

boost::asio::io_context& event_loop::context()
{
    return this->inner->context;
}

} // namespace eelgrassbend::standin
