#ifndef EELGRASSBEND_ROUTING_HEDGE_POLICY_H
#define EELGRASSBEND_ROUTING_HEDGE_POLICY_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/share_budget.h"

#include <map>
#include <optional>

namespace eelgrassbend {

/// Decides when a request without a first token gets a second attempt elsewhere.
class hedge_policy {
public:
    virtual ~hedge_policy() = default;

    /// Called once for each dispatched request: how long its first token may take before `start`
    /// should be asked; empty if the request must have no second attempt.
    virtual std::optional<duration> delay(const route_request& request,
                                          const route_decision& decision) = 0;
    /// Takes a hedge from the service's budget; false if there is none left.
    virtual bool try_acquire(const service_id& service) = 0;
    /// Learns from a first token that came `elapsed` after the dispatch.
    virtual void on_first_token(const service_id& service, request_class size,
                                duration elapsed) = 0;
};

/// Hedges what is slower than nearly all requests of its service and class, within the
/// `hedge_budget` that the bundle gives the service.
class budgeted_hedge_policy : public hedge_policy {
public:
    explicit budgeted_hedge_policy(const bundle_view& bundles) : bundles(bundles) {}

    std::optional<duration> delay(const route_request& request,
                                  const route_decision& decision) override;
    bool try_acquire(const service_id& service) override;
    void on_first_token(const service_id& service, request_class size, duration elapsed) override;

private:
    const bundle_view& bundles;
    share_budget budget;
    std::map<std::pair<service_id, request_class>, duration>
        p99_first_token; ///< 99 in 100 are faster
};

} // namespace eelgrassbend

#endif
