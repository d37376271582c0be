#ifndef EELGRASSBEND_ROUTING_LIMITER_H
#define EELGRASSBEND_ROUTING_LIMITER_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>

namespace eelgrassbend {

/// A refusal by a limit; nothing was run.
struct limit_refusal {
    std::string limit; ///< "rate", "concurrency" or "cost"
    duration retry_after{};
};

/// Holds the limits of the bundle for organisations.
class limiter {
public:
    virtual ~limiter() = default;
    /// Empty if the request is admitted; each admitted request must be ended once.
    virtual std::optional<limit_refusal> admit(const organisation_id& organisation,
                                               const request_id& request, money expected_cost) = 0;
    virtual void release(const request_id& request, money cost) = 0;
};

} // namespace eelgrassbend

#endif
