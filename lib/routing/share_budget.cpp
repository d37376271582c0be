#include "eelgrassbend/routing/share_budget.h"

#include <algorithm>

namespace eelgrassbend {

/// Extra attempts that may be saved up, so that a calm hour does not pay for a storm of retries.
static constexpr double max_balance = 10.0;

void share_budget::earn(const service_id& service, double share)
{
    // A new service may use one extra attempt before its requests have earned it.
    auto& balance = this->balances.try_emplace(service, share > 0.0 ? 1.0 : 0.0).first->second;
    balance = std::min(max_balance, balance + share);
}

bool share_budget::spend(const service_id& service)
{
    const auto found = this->balances.find(service);
    if (found == this->balances.end() || found->second < 1.0) {
        return false;
    }
    found->second -= 1.0;
    return true;
}

} // namespace eelgrassbend
