#include "eelgrassbend/logging/rate_limited_event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

rate_limited_event_log::rate_limited_event_log(event_log& target, const clock_source& clock,
                                               double lines_per_second)
    : target(target), clock(clock), lines_per_second(lines_per_second), last_refill(clock.now())
{
    for (auto* budget : {&this->normal, &this->warnings, &this->errors}) {
        budget->tokens = lines_per_second;
    }
}

void rate_limited_event_log::refill(monotonic_time now)
{
    const std::chrono::duration<double> elapsed{now - this->last_refill};
    this->last_refill = now;
    for (auto* budget : {&this->normal, &this->warnings, &this->errors}) {
        budget->tokens = std::min(this->lines_per_second,
                                  budget->tokens + elapsed.count() * this->lines_per_second);
    }
}

rate_limited_event_log::line_budget& rate_limited_event_log::budget_of(log_level level)
{
    switch (level) {
    case log_level::error:
        return this->errors;
    case log_level::warning:
        return this->warnings;
    case log_level::info:
    case log_level::debug:
        break;
    }
    return this->normal;
}

bool rate_limited_event_log::try_take_token(line_budget& budget)
{
    if (budget.tokens < 1.0) {
        ++budget.dropped;
        return false;
    }
    budget.tokens -= 1.0;
    if (const auto dropped = std::exchange(budget.dropped, 0); dropped > 0) {
        this->target.write(log_level::warning, "lines_dropped", {{"count", dropped}});
    }
    return true;
}

void rate_limited_event_log::write(log_level level, std::string_view event,
                                   const nlohmann::json& fields)
{
    this->refill(this->clock.now());
    if (this->try_take_token(this->budget_of(level))) {
        this->target.write(level, event, fields);
    }
}

} // namespace eelgrassbend
