#ifndef EELGRASSBEND_ROUTING_SHARE_BUDGET_H
#define EELGRASSBEND_ROUTING_SHARE_BUDGET_H

#include "eelgrassbend/support/ids.h"

#include <unordered_map>

namespace eelgrassbend {

/// Limits extra attempts to a share of the requests of each service.
class share_budget {
public:
    /// Adds `share` of an extra attempt to the balance; called for each request.
    void earn(const service_id& service, double share);
    /// Takes one extra attempt from the balance; false if the balance is below one.
    bool spend(const service_id& service);

private:
    std::unordered_map<service_id, double> balances;
};

} // namespace eelgrassbend

#endif
