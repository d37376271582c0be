#ifndef EELGRASSBEND_ROUTING_LIMITER_H
#define EELGRASSBEND_ROUTING_LIMITER_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>

namespace eelgrassbend {

/// Refusal of a request by a limit, before anything was executed.
struct limit_refusal {
    std::string limit; ///< "rate", "concurrency" or "cost"
    duration retry_after{};
};

/// Enforces the limits that the bundle sets for organisations.
class limiter {
public:
    virtual ~limiter() = default;
    /// Empty if the request is admitted; each admitted request must be released exactly once.
    virtual std::optional<limit_refusal> admit(const organisation_id& organisation,
                                               const request_id& request, money expected_cost) = 0;
    virtual void release(const request_id& request, money cost) = 0;
};

} // namespace eelgrassbend

#endif
