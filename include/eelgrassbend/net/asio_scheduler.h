#ifndef EELGRASSBEND_NET_ASIO_SCHEDULER_H
#define EELGRASSBEND_NET_ASIO_SCHEDULER_H

#include "eelgrassbend/support/scheduler.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// A scheduler with timers on an io_context, which must be run by a single thread.
class asio_scheduler : public scheduler {
public:
    explicit asio_scheduler(boost::asio::io_context& context);
    ~asio_scheduler() override;

    [[nodiscard]] monotonic_time now() const override;
    [[nodiscard]] wall_time wall_now() const override;
    timer_id call_after(duration delay, callback action) override;
    void cancel(timer_id timer) override;

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace eelgrassbend

#endif
