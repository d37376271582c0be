#ifndef EELGRASSBEND_ROUTING_ROUTING_POLICY_H
#define EELGRASSBEND_ROUTING_ROUTING_POLICY_H

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/service_table.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <memory>
#include <string_view>

namespace eelgrassbend {

/// Selects one endpoint of a service for a request.
class routing_policy {
public:
    virtual ~routing_policy() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// The table must have at least one endpoint. Errors as for `router::choose`.
    virtual result<route_decision> choose(service_table& table, const route_request& request) = 0;
};

/// Creates the policy with that name; `predictive` if the name is unknown or empty.
std::unique_ptr<routing_policy> make_policy(std::string_view name, const clock_source& clock,
                                            random_source& random);

/// Whether the endpoint takes new work and the request has not been tried at it.
bool is_eligible(const endpoint_record& record, const route_request& request);

} // namespace eelgrassbend

#endif
