#ifndef EELGRASSBEND_LIB_ROUTING_STARVATION_GUARD_H
#define EELGRASSBEND_LIB_ROUTING_STARVATION_GUARD_H

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/units.h"

#include <optional>

namespace eelgrassbend {

/// Detects that long requests are refused repeatedly while others are admitted.
class starvation_guard {
public:
    void record_refusal(monotonic_time now, request_class size);
    void record_admission(monotonic_time now, request_class size);

    /// Whether long requests take precedence until one is admitted.
    [[nodiscard]] bool is_long_starved(monotonic_time now) const;

private:
    std::optional<monotonic_time> refused_since;
    monotonic_time last_refusal;
};

} // namespace eelgrassbend

#endif
