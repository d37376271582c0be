#ifndef EELGRASSBEND_DUTIES_DUTY_CALLS_H
#define EELGRASSBEND_DUTIES_DUTY_CALLS_H

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <functional>

namespace eelgrassbend {

/// How many endpoints of one kind a service shall have in a zone.
struct scaling_order {
    service_id service;
    availability_zone zone;
    bool is_reclaimable = false;
    int count = 0;

    friend bool operator==(const scaling_order&, const scaling_order&) = default;
};

/// Calls to the platform that one node at a time may make. Errors: `conflict` if a higher fencing
/// token was seen, `not_found` if no endpoint of that kind can be had, `rate_limited`,
/// `unavailable`, `timed_out` or `outcome_unknown` if it may yet be carried out.
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
