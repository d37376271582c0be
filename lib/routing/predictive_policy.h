#ifndef EELGRASSBEND_LIB_ROUTING_PREDICTIVE_POLICY_H
#define EELGRASSBEND_LIB_ROUTING_PREDICTIVE_POLICY_H

#include "eelgrassbend/routing/prediction.h"
#include "eelgrassbend/routing/routing_policy.h"
#include "starvation_guard.h"

#include <vector>

namespace eelgrassbend {

/// Selects the cheapest endpoint that is predicted to meet the latency targets of the service, or
/// the fastest one if none does.
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
        std::string rejection_reason; ///< empty if it is eligible
        bool meets_target = false;
    };

    using candidate_list = std::vector<candidate>;

    [[nodiscard]] std::vector<endpoint_index> collect_candidates(const service_table& table,
                                                                 const route_request& request);
    candidate_list evaluate_candidates(service_table& table, const route_request& request);
    static std::vector<const candidate*> with_rejection_reason(const candidate_list& candidates,
                                                               std::string_view reason);
    static void remove_delayed(std::vector<const candidate*>& eligible_candidates);
    /// Null if no candidate is eligible.
    const candidate* select_candidate(const candidate_list& candidates,
                                      const route_request& request, std::string& reason,
                                      std::uint32_t& near_equals);
    /// Selects a suspected endpoint that is due for a probe; null if there is none.
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
