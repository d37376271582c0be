#ifndef EELGRASSBEND_ROUTING_SHARE_BUDGET_H
#define EELGRASSBEND_ROUTING_SHARE_BUDGET_H

#include "eelgrassbend/support/ids.h"

#include <unordered_map>

namespace eelgrassbend {

/// Allows extra attempts as a share of the requests of each service.
class share_budget {
public:
    /// A request earns `share` of an extra attempt.
    void earn(const service_id& service, double share);
    /// Takes one extra attempt; false if the requests have not earned it.
    bool spend(const service_id& service);

private:
    std::unordered_map<service_id, double> balances;
};

} // namespace eelgrassbend

#endif
