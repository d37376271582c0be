#include "eelgrassbend/rollout/rollout_evidence.h"

namespace eelgrassbend {

static void keep_newer(version_totals& known, const version_totals& reported)
{
    if (reported.requests + reported.finished() > known.requests + known.finished()) {
        known = reported;
    }
}

void rollout_evidence::apply(const node_id& node, std::uint64_t incarnation,
                             const rollout_observations& observed)
{
    auto& known = this->services[observed.service][observed.order][{node, incarnation}];
    for (const auto& [route, totals] : observed.totals) {
        keep_newer(known[route].target, totals.target);
        keep_newer(known[route].base, totals.base);
    }
}

rollout_totals rollout_evidence::totals(const service_id& service, rollout_order_id order) const
{
    rollout_totals sum;
    const auto orders = this->services.find(service);
    if (orders == this->services.end() || !orders->second.contains(order)) {
        return sum;
    }
    for (const auto& [node, totals] : orders->second.at(order)) {
        for (const auto& [route, observed] : totals) {
            sum[route].target += observed.target;
            sum[route].base += observed.base;
        }
    }
    return sum;
}

void rollout_evidence::retain(const service_id& service, rollout_order_id order)
{
    if (const auto found = this->services.find(service); found != this->services.end()) {
        std::erase_if(found->second, [&](const auto& entry) { return entry.first != order; });
    }
}

} // namespace eelgrassbend
