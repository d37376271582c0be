#ifndef EELGRASSBEND_ROUTING_HEDGE_POLICY_H
#define EELGRASSBEND_ROUTING_HEDGE_POLICY_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/share_budget.h"

#include <map>
#include <optional>

namespace eelgrassbend {

/// Decides when a request without a first token gets a hedge, a second attempt at another endpoint.
class hedge_policy {
public:
    virtual ~hedge_policy() = default;

    /// Time after dispatch without a first token after which the caller should call
    /// `try_acquire`; empty if the request must not be hedged. Called once per dispatched request.
    virtual std::optional<duration> delay(const route_request& request,
                                          const route_decision& decision) = 0;
    /// Takes one hedge from the budget of the service; false if the budget is exhausted.
    virtual bool try_acquire(const service_id& service) = 0;
    /// Records that a first token was received `elapsed` after the dispatch.
    virtual void on_first_token(const service_id& service, request_class size,
                                duration elapsed) = 0;
};

/// Hedges requests that are slower than the 99th percentile of their service and class, within the
/// `hedge_budget` of the service in the bundle.
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
    /// Estimated 99th percentile of the time to the first token.
    std::map<std::pair<service_id, request_class>, duration> p99_first_token;
};

} // namespace eelgrassbend

#endif
