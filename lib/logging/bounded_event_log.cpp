#include "eelgrassbend/logging/bounded_event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

bounded_event_log::bounded_event_log(event_log& target, const clock_source& clock,
                                     double lines_per_second)
    : target(target), clock(clock), lines_per_second(lines_per_second), refilled(clock.now())
{
    this->ordinary.left = lines_per_second;
    this->urgent.left = lines_per_second;
}

void bounded_event_log::refill(monotonic_time now)
{
    const std::chrono::duration<double> passed{now - this->refilled};
    this->refilled = now;
    for (auto* kind : {&this->ordinary, &this->urgent}) {
        kind->left =
            std::min(this->lines_per_second, kind->left + passed.count() * this->lines_per_second);
    }
}

bool bounded_event_log::take(allowance& kind)
{
    if (kind.left < 1.0) {
        ++kind.dropped;
        return false;
    }
    kind.left -= 1.0;
    if (const auto dropped = std::exchange(kind.dropped, 0); dropped > 0) {
        this->target.write(log_level::warning, "lines_dropped", {{"count", dropped}});
    }
    return true;
}

void bounded_event_log::write(log_level level, std::string_view event, const nlohmann::json& fields)
{
    this->refill(this->clock.now());
    const bool is_urgent = level == log_level::warning || level == log_level::error;
    if (this->take(is_urgent ? this->urgent : this->ordinary)) {
        this->target.write(level, event, fields);
    }
}

} // namespace eelgrassbend
