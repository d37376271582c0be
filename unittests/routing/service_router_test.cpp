#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/support/virtual_scheduler.h"
#include "fakes/bundle_view.h"
#include "fakes/endpoint_directory.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace eelgrassbend {

static const service_id draft{"draft-llm"};

static bundle make_bundle(const std::string& policy)
{
    service_spec spec;
    spec.id = draft;
    spec.routing_policy = policy;
    spec.first_token_target = std::chrono::seconds{2};
    spec.between_tokens_target = std::chrono::milliseconds{51};
    spec.quick_slot_share = 0.25;
    bundle declared;
    declared.version = bundle_version{3};
    declared.services.push_back(spec);
    return declared;
}

static endpoint_info make_endpoint(const std::string& name,
                                   endpoint_state state = endpoint_state::live)
{
    endpoint_info info;
    info.id = endpoint_id{name};
    info.service = draft;
    info.zone = availability_zone{"arusha-a"};
    info.type = machine_class{"small"};
    info.state = state;
    return info;
}

static route_request make_request()
{
    route_request request;
    request.service = draft;
    request.prompt_tokens = token_count{100};
    request.expected_output = token_count{50};
    return request;
}

namespace {

struct routing_fixture {
    explicit routing_fixture(const std::string& policy, int count = 4)
        : bundles(make_bundle(policy))
    {
        for (int number = 0; number < count; ++number) {
            this->directory.set(make_endpoint("e" + std::to_string(number)));
        }
    }

    std::set<std::string> chosen(int times, const route_request& request = make_request())
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

    virtual_scheduler clock;
    seeded_random random{7};
    fakes::directory directory;
    fakes::fixed_bundle bundles;
    service_router router{clock, random, directory, bundles};
};

} // namespace

static const std::vector<std::string> all_policies{"random", "round_robin", "least_outstanding",
                                                   "two_choices", "predictive"};

BOOST_AUTO_TEST_CASE(every_policy_is_chosen_by_name_and_uses_all_equal_endpoints)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        BOOST_TEST(fixture.chosen(100).size() == 4U, policy);
        const auto decision = fixture.router.choose(make_request());
        BOOST_TEST(decision.value().policy == policy);
        BOOST_TEST(decision.value().version.value() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(leaving_endpoints_are_never_chosen)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        fixture.chosen(10);
        fixture.directory.set(make_endpoint("e1", endpoint_state::leaving));
        fixture.directory.set(make_endpoint("e2", endpoint_state::gone));
        BOOST_TEST((fixture.chosen(200) == std::set<std::string>{"e0", "e3"}), policy);
    }
}

BOOST_AUTO_TEST_CASE(excluded_endpoints_are_never_chosen)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        auto request = make_request();
        request.excluded = {endpoint_id{"e0"}, endpoint_id{"e1"}, endpoint_id{"e3"}};
        BOOST_TEST((fixture.chosen(200, request) == std::set<std::string>{"e2"}), policy);
        request.excluded.emplace_back("e2");
        const auto refused = fixture.router.choose(request);
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(refused.error().code == make_error_code(errc::unavailable), policy);
    }
}

BOOST_AUTO_TEST_CASE(a_service_without_endpoints_is_not_found)
{
    routing_fixture fixture("predictive", 0);
    const auto refused = fixture.router.choose(make_request());
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(refused.error().code == make_error_code(errc::not_found));
}

} // namespace eelgrassbend
