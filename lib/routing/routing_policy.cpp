#include "eelgrassbend/routing/routing_policy.h"

#include "baseline_policies.h"
#include "predictive_policy.h"

#include <algorithm>

namespace eelgrassbend {

std::unique_ptr<routing_policy> make_policy(std::string_view name, const clock_source& clock,
                                            random_source& random)
{
    if (name == "random") {
        return std::make_unique<random_policy>(random);
    }
    if (name == "round_robin") {
        return std::make_unique<round_robin_policy>();
    }
    if (name == "least_outstanding") {
        return std::make_unique<least_outstanding_policy>(random);
    }
    if (name == "two_choices") {
        return std::make_unique<two_choices_policy>(random);
    }
    return std::make_unique<predictive_policy>(clock, random);
}

bool is_eligible(const endpoint_record& record, const route_request& request)
{
    return record.is_usable &&
           std::ranges::find(request.excluded, record.info.id) == request.excluded.end();
}

} // namespace eelgrassbend
