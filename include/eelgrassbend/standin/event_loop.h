#ifndef EELGRASSBEND_STANDIN_EVENT_LOOP_H
#define EELGRASSBEND_STANDIN_EVENT_LOOP_H

#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend::standin {

/// A scheduler in real time, with the thread that runs it.
class event_loop : public scheduler {
public:
    event_loop();
    ~event_loop() override;

    [[nodiscard]] monotonic_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;
    timer_id call_after(duration delay, callback action) override;
    void cancel(timer_id timer) override;

    /// Runs callbacks until `stop`.
    void run();
    /// May be called from any thread.
    void stop();
    /// Calls `stop` at SIGTERM and SIGINT.
    void stop_on_signals();

    [[nodiscard]] boost::asio::io_context& context();

private:
    class implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace eelgrassbend::standin

#endif
