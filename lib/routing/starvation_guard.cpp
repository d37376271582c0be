#include "starvation_guard.h"

namespace eelgrassbend {

namespace {

/// Long requests starve if none was admitted for this long while some were refused.
constexpr duration longest_exclusion = std::chrono::seconds{3};
/// Without a refusal for this long nobody waits any more.
constexpr duration refusal_memory = std::chrono::seconds{10};

} // namespace

void starvation_guard::refused(monotonic_time now, request_class size)
{
    if (size != request_class::long_running) {
        return;
    }
    if (!this->refused_since || now - this->last_refusal > refusal_memory) {
        this->refused_since = now;
    }
    this->last_refusal = now;
}

void starvation_guard::admitted(monotonic_time /*now*/, request_class size)
{
    if (size == request_class::long_running) {
        this->refused_since.reset();
    }
}

bool starvation_guard::long_starves(monotonic_time now) const
{
    return this->refused_since && now - *this->refused_since > longest_exclusion &&
           now - this->last_refusal <= refusal_memory;
}

} // namespace eelgrassbend
