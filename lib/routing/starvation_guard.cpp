#include "starvation_guard.h"

namespace eelgrassbend {

namespace {

/// Long requests are starved if none was admitted for this long while some were refused.
constexpr duration max_exclusion = std::chrono::seconds{3};
/// Without a refusal for this long, no long request is assumed to be waiting.
constexpr duration refusal_window = std::chrono::seconds{10};

} // namespace

void starvation_guard::record_refusal(monotonic_time now, request_class size)
{
    if (size != request_class::long_running) {
        return;
    }
    if (!this->refused_since || now - this->last_refusal > refusal_window) {
        this->refused_since = now;
    }
    this->last_refusal = now;
}

void starvation_guard::record_admission(monotonic_time /*now*/, request_class size)
{
    if (size == request_class::long_running) {
        this->refused_since.reset();
    }
}

bool starvation_guard::is_long_starved(monotonic_time now) const
{
    return this->refused_since && now - *this->refused_since > max_exclusion &&
           now - this->last_refusal <= refusal_window;
}

} // namespace eelgrassbend
