#include "eelgrassbend/admission/capacity_source.h"

#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/placement/load_model.h"

#include <algorithm>

namespace eelgrassbend {

fleet_capacity::fleet_capacity(const endpoint_table& endpoints, const load_model& loads,
                               const fleet_quota& quotas)
    : endpoints(endpoints), loads(loads), quotas(quotas)
{
}

service_capacity fleet_capacity::capacity(const service_id& service, monotonic_time now) const
{
    service_capacity sum;
    for (const auto* endpoint : this->endpoints.usable(service, now)) {
        sum.endpoints += 1.0;
        sum.slots += std::max(1, endpoint->record.slots);
        sum.running += std::max(0, this->loads.total(endpoint->record.id).requests);
    }
    return sum;
}

double fleet_capacity::node_count() const
{
    return static_cast<double>(this->loads.node_count());
}

double fleet_capacity::reporting_share() const
{
    return this->quotas.current_reporting_share();
}

double fleet_capacity::admitted_units(const organisation_id& organisation) const
{
    return this->quotas.fleet_total(organisation);
}

} // namespace eelgrassbend
