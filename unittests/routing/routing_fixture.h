#ifndef EELGRASSBEND_UNITTESTS_ROUTING_ROUTING_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_ROUTING_ROUTING_FIXTURE_H

#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/support/virtual_scheduler.h"
#include "fakes/bundle_view.h"
#include "fakes/endpoint_directory.h"

#include <map>
#include <set>
#include <string>

namespace eelgrassbend {

inline const service_id draft_service{"draft-llm"};

inline bundle make_bundle(const std::string& policy)
{
    service_spec spec;
    spec.id = draft_service;
    spec.routing_policy = policy;
    spec.first_token_target = std::chrono::seconds{2};
    spec.between_tokens_target = std::chrono::milliseconds{51};
    spec.quick_slot_share = 0.25;
    spec.hedge_budget = 0.1;
    bundle declared;
    declared.version = bundle_version{3};
    declared.services.push_back(spec);
    return declared;
}

inline endpoint_info make_endpoint(const std::string& name,
                                   endpoint_state state = endpoint_state::live)
{
    endpoint_info info;
    info.id = endpoint_id{name};
    info.service = draft_service;
    info.zone = availability_zone{"arusha-a"};
    info.type = machine_class{"small"};
    info.state = state;
    return info;
}

inline route_request make_request(request_class size = request_class::normal)
{
    route_request request;
    request.service = draft_service;
    request.size = size;
    request.prompt_tokens = token_count{100};
    request.expected_output = token_count{50};
    return request;
}

/// A router with `count` equal endpoints "e0", "e1" and so on.
struct routing_fixture {
    explicit routing_fixture(const std::string& policy, int count = 4)
        : bundles(make_bundle(policy))
    {
        for (int number = 0; number < count; ++number) {
            this->directory.set(make_endpoint("e" + std::to_string(number)));
        }
    }

    std::set<std::string> chosen_endpoints(int times, const route_request& request = make_request())
    {
        std::set<std::string> names;
        for (int turn = 0; turn < times; ++turn) {
            const auto decision = this->router.choose(request);
            if (decision) {
                names.insert(decision.value().endpoint.value());
            }
        }
        return names;
    }

    void report(const std::string& endpoint, std::uint32_t running, std::uint32_t slots = 8,
                duration age = {})
    {
        load_report content;
        content.measured_at = this->clock.wall_now() - age;
        content.slots = slots;
        content.running = running;
        this->router.report_load(endpoint_id{endpoint}, content);
    }

    attempt_id dispatch(const std::string& endpoint, const route_request& request = make_request())
    {
        const attempt_id attempt{"r/" + std::to_string(this->next_attempt++)};
        this->router.on_dispatched(attempt, endpoint_id{endpoint}, request);
        return attempt;
    }

    /// Reports `count` output tokens of an attempt, one every `gap`.
    void stream(const attempt_id& attempt, int count, duration gap)
    {
        for (int token = 0; token < count; ++token) {
            this->clock.run_for(gap);
            this->router.on_progress(attempt, token_count{++this->totals[attempt]});
        }
    }

    virtual_scheduler clock;
    seeded_random random{7};
    fakes::directory directory;
    fakes::fixed_bundle bundles;
    service_router router{clock, random, directory, bundles};
    std::map<attempt_id, std::int64_t> totals;
    int next_attempt = 0;
};

} // namespace eelgrassbend

#endif
