#ifndef EELGRASSBEND_BENCH_LIMITED_LOG_H
#define EELGRASSBEND_BENCH_LIMITED_LOG_H

#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace eelgrassbend::bench {

/// Appends that the platform takes from all nodes together.
struct append_limit {
    double per_second = 300.0;
    double burst = 30.0;
    double tokens = burst;
    monotonic_time refilled{};
    std::uint64_t taken = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;

    bool take(monotonic_time now)
    {
        const std::chrono::duration<double> passed = now - this->refilled;
        this->refilled = now;
        this->tokens = std::min(this->burst, this->tokens + this->per_second * passed.count());
        if (this->tokens < 1.0) {
            ++this->refused;
            return false;
        }
        this->tokens -= 1.0;
        ++this->taken;
        return true;
    }
};

/// Refuses appends over the common limit.
class limited_log : public log_client {
public:
    limited_log(log_client& log, scheduler& timer, append_limit& limit)
        : log(log), timer(timer), limit(limit)
    {
    }

    std::uint64_t bytes = 0; ///< appended and read through this client

    void append(const stream_name& stream, std::vector<new_log_record> records,
                append_handler handler) override
    {
        if (!this->limit.take(this->timer.now())) {
            this->timer.call_after(std::chrono::milliseconds{5}, [handler = std::move(handler)] {
                handler(make_error(errc::rate_limited, "append", "fake log"));
            });
            return;
        }
        for (const auto& record : records) {
            const auto size = record.id.value().size() + record.payload.size();
            this->limit.bytes += size;
            this->bytes += size;
        }
        this->log.append(stream, std::move(records), std::move(handler));
    }

    void read(const stream_name& stream, log_offset from, std::size_t count,
              read_handler handler) override
    {
        this->log.read(stream, from, count, [this, handler](const result<log_page>& page) {
            if (page) {
                for (const auto& record : page.value().records) {
                    this->bytes += record.id.value().size() + record.payload.size();
                }
            }
            handler(page);
        });
    }

private:
    log_client& log;
    scheduler& timer;
    append_limit& limit;
};

} // namespace eelgrassbend::bench

#endif
