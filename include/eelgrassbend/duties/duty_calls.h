#ifndef EELGRASSBEND_DUTIES_DUTY_CALLS_H
#define EELGRASSBEND_DUTIES_DUTY_CALLS_H

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <functional>

namespace eelgrassbend {

/// The number of endpoints of one kind that a service is to have in a zone.
struct scaling_order {
    service_id service;
    availability_zone zone;
    bool is_reclaimable = false;
    int count = 0;

    friend bool operator==(const scaling_order&, const scaling_order&) = default;
};

/// Calls to the platform that only the holder of the duty lease makes. Errors: `conflict` if the
/// platform has received a higher fencing token, `not_found` if no endpoint of that kind is
/// available, `rate_limited`, `unavailable`, `timed_out` or `outcome_unknown` if the call may still
/// be executed.
class duty_calls {
public:
    using handler = std::function<void(result<void>)>;

    virtual ~duty_calls() = default;
    virtual void report_usage(fencing_token token, usage_window window, const usage_counts& counts,
                              handler done) = 0;
    virtual void order(fencing_token token, const scaling_order& order, handler done) = 0;
};

} // namespace eelgrassbend

#endif
