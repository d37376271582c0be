#include "eelgrassbend/routing/share_budget.h"

#include <algorithm>

namespace eelgrassbend {

/// Maximum number of extra attempts in a balance, so that a quiet hour does not fund a burst of
/// retries.
static constexpr double max_balance = 10.0;

void share_budget::earn(const service_id& service, double share)
{
    // A new service starts with a balance of one extra attempt.
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
