#ifndef EELGRASSBEND_LIMITS_SHARED_LIMITER_H
#define EELGRASSBEND_LIMITS_SHARED_LIMITER_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/limits/limit_peers.h"
#include "eelgrassbend/limits/share_account.h"
#include "eelgrassbend/limits/token_bucket.h"
#include "eelgrassbend/routing/limiter.h"
#include "eelgrassbend/support/scheduler.h"

#include <unordered_map>

namespace eelgrassbend {

/// Enforces the limits of organisations together with the other nodes of their shards. Each node
/// admits by its share of a limit. Shares follow the demand and sum to one, except in the interval
/// between two messages.
class shared_limiter : public limiter {
public:
    shared_limiter(scheduler& timers, const bundle_view& bundles, limit_peers& peers);
    ~shared_limiter() override;
    shared_limiter(const shared_limiter&) = delete;
    shared_limiter& operator=(const shared_limiter&) = delete;

    std::optional<limit_refusal> admit(const organisation_id& organisation,
                                       const request_id& request, money expected_cost) override;
    void release(const request_id& request, money cost) override;

    /// This node's share of the organisation's limits, from 0 to 1.
    [[nodiscard]] double share(const organisation_id& organisation) const;

private:
    struct account {
        token_bucket requests;
        token_bucket cost;
        share_account shares;
        std::uint32_t concurrent = 0;
        std::uint64_t requests_since_exchange = 0;
        double request_rate = 0.0;
        monotonic_time last_used;
    };

    struct admitted_request {
        organisation_id organisation;
        money expected_cost;
    };

    account& find_or_create_account(const organisation_spec& spec);
    void apply_share(const organisation_spec& spec, account& known);
    [[nodiscard]] std::optional<limit_refusal> check(const organisation_spec& spec,
                                                     const account& known, money cost) const;
    void exchange_shares();
    void handle_shares(const limit_share_message& message);

    scheduler& timers;
    const bundle_view& bundles;
    limit_peers& peers;
    std::unordered_map<organisation_id, account> accounts;
    std::unordered_map<request_id, admitted_request> admitted;
    timer_id next_exchange;
};

} // namespace eelgrassbend

#endif
