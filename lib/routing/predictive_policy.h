#ifndef EELGRASSBEND_LIB_ROUTING_PREDICTIVE_POLICY_H
#define EELGRASSBEND_LIB_ROUTING_PREDICTIVE_POLICY_H

#include "eelgrassbend/routing/prediction.h"
#include "eelgrassbend/routing/routing_policy.h"
#include "starvation_guard.h"

#include <vector>

namespace eelgrassbend {

/// The cheapest endpoint that is predicted to meet the service's latency target, else the fastest.
class predictive_policy : public routing_policy {
public:
    predictive_policy(const clock_source& clock, random_source& random)
        : clock(clock), random(random)
    {
    }

    [[nodiscard]] std::string_view name() const override { return "predictive"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    struct candidate {
        endpoint_index index = 0;
        prediction expected;
        std::string rejection_reason; ///< why it is out; empty if it is not
        bool meets_target = false;
    };

    using candidate_list = std::vector<candidate>;

    [[nodiscard]] std::vector<endpoint_index> collect_candidates(const service_table& table,
                                                                 const route_request& request);
    candidate_list evaluate_candidates(service_table& table, const route_request& request);
    static std::vector<const candidate*> with_rejection_reason(const candidate_list& candidates,
                                                               std::string_view reason);
    static void remove_delayed(std::vector<const candidate*>& eligible_candidates);
    /// Null if no candidate is left.
    const candidate* select_candidate(const candidate_list& candidates,
                                      const route_request& request, std::string& reason,
                                      std::uint32_t& near_equals);
    /// A suspected endpoint whose turn it is to be tried; null if there is none.
    const candidate* select_probe(service_table& table, const route_request& request,
                                  candidate_list& candidates);
    static error make_refusal(const service_table& table, const candidate_list& candidates);
    static route_decision make_decision(const service_table& table,
                                        const candidate_list& candidates, const candidate& chosen,
                                        std::string reason);

    const clock_source& clock;
    random_source& random;
    starvation_guard guard;
};

} // namespace eelgrassbend

#endif
