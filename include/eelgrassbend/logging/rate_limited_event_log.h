#ifndef EELGRASSBEND_LOGGING_RATE_LIMITED_EVENT_LOG_H
#define EELGRASSBEND_LOGGING_RATE_LIMITED_EVENT_LOG_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>

namespace eelgrassbend {

/// Limits the rate of the lines that it forwards. Warnings and errors have a token bucket each, so
/// that a flood of other lines does not suppress them. A `lines_dropped` event reports the
/// number of dropped lines.
class rate_limited_event_log : public event_log {
public:
    /// `lines_per_second` is the rate and the burst of each of the three budgets.
    rate_limited_event_log(event_log& target, const clock_source& clock, double lines_per_second);

    void write(log_level level, std::string_view event, const nlohmann::json& fields) override;

private:
    struct line_budget {
        double tokens = 0.0;
        std::uint64_t dropped = 0;
    };

    void refill(monotonic_time now);
    line_budget& budget_of(log_level level);
    bool try_take_token(line_budget& budget);

    event_log& target;
    const clock_source& clock;
    double lines_per_second;
    monotonic_time last_refill;
    line_budget normal;
    line_budget warnings;
    line_budget errors;
};

} // namespace eelgrassbend

#endif
