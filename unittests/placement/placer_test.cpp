#include "eelgrassbend/placement/placer.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct placer_fixture {
    void add(const std::string& id, const std::string& zone = "a")
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = service_id{"draft"};
        record.address = {"10.0.0.1", 80};
        record.zone = availability_zone{zone};
        record.slots = 8;
        this->endpoints.put(record, this->now);
    }

    [[nodiscard]] placement_request prompt(std::int64_t tokens) const
    {
        placement_request request;
        request.service = service_id{"draft"};
        request.prompt_tokens = tokens;
        request.output_tokens = 100;
        return request;
    }

    placement place(const placement_request& request)
    {
        const auto answer = this->placer_under_test.choose(request, this->engine, this->now);
        BOOST_REQUIRE(answer.chosen.has_value());
        this->last_attempt = this->loads.begin_attempt(answer.chosen->endpoint, answer.chosen->work,
                                                       answer.chosen->predicted, this->now);
        this->cache.record_use(answer.chosen->endpoint, request.parts, this->now);
        return *answer.chosen;
    }

    monotonic_time now{seconds{10}};
    endpoint_table endpoints{seconds{1}};
    load_model loads;
    prompt_cache cache{1'000'000};
    seeded_random random{5};
    engine_cost_estimator costs;
    placer placer_under_test{this->endpoints, this->loads,  this->cache,
                             this->costs,     this->random, availability_zone{"a"}};
    load_model::attempt_number last_attempt = 0;
    std::optional<engine_traits> engine = engine_traits{8, token_count{100'000}, false, {}, 0};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(long_prompts_spread_over_the_engines, placer_fixture)
{
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
        this->add(id);
    }
    std::map<endpoint_id, int> placed;
    for (int index = 0; index < 8; ++index) {
        ++placed[this->place(this->prompt(6000)).endpoint];
    }
    for (const auto& [id, count] : placed) {
        BOOST_TEST(count == 2);
    }
}

BOOST_FIXTURE_TEST_CASE(
    a_session_stays_at_the_engine_that_caches_its_prompt_unless_the_wait_is_longer, placer_fixture)
{
    this->add("e1");
    this->add("e2");
    auto request = this->prompt(6000);
    request.parts = {{1, 500}, {2, 5000}, {3, 500}};
    const auto first = this->place(request);
    this->loads.record_first_byte(this->last_attempt, this->now + milliseconds{100});
    request.parts.back().id = 4;
    BOOST_TEST(this->place(request).endpoint.value() == first.endpoint.value());
    for (int index = 0; index < 4; ++index) {
        this->loads.begin_attempt(first.endpoint, {6000, 6000}, milliseconds{100}, this->now);
    }
    request.parts.back().id = 5;
    BOOST_TEST(this->place(request).endpoint.value() != first.endpoint.value());
}

BOOST_FIXTURE_TEST_CASE(all_nodes_prefer_the_same_engine_for_a_shared_part, placer_fixture)
{
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
        this->add(id);
    }
    auto request = this->prompt(6000);
    request.parts = {{1, 500}, {2, 5000}, {3, 500}};
    this->loads.set_peer_work(node_id{"other"}, {});
    const auto here =
        this->placer_under_test.choose(request, this->engine, this->now).chosen->endpoint;
    seeded_random other_random{99};
    load_model other_loads;
    other_loads.set_peer_work(node_id{"this"}, {});
    prompt_cache other_cache{1'000'000};
    const placer other_placer{this->endpoints, other_loads,  other_cache,
                              this->costs,     other_random, availability_zone{"a"}};
    BOOST_TEST(other_placer.choose(request, this->engine, this->now).chosen->endpoint.value() ==
               here.value());
}

BOOST_FIXTURE_TEST_CASE(an_engine_without_memory_for_a_prompt_is_full, placer_fixture)
{
    this->add("e1");
    this->place(this->prompt(60'000));
    const auto answer =
        this->placer_under_test.choose(this->prompt(60'000), this->engine, this->now);
    BOOST_TEST(!answer.chosen.has_value());
    BOOST_TEST((answer.reason == placement_failure::all_full));
}

BOOST_FIXTURE_TEST_CASE(an_idle_engine_accepts_a_prompt_above_the_planned_memory, placer_fixture)
{
    this->add("e1");
    BOOST_TEST(this->placer_under_test.choose(this->prompt(98'000), this->engine, this->now)
                   .chosen.has_value());
}

BOOST_FIXTURE_TEST_CASE(no_endpoint_and_all_full_are_distinct_failures, placer_fixture)
{
    const auto answer = this->placer_under_test.choose(this->prompt(10), this->engine, this->now);
    BOOST_TEST((answer.reason == placement_failure::no_endpoint));
}

BOOST_FIXTURE_TEST_CASE(suspended_endpoints_are_chosen_last, placer_fixture)
{
    this->add("e1");
    this->add("e2");
    for (int index = 0; index < 3; ++index) {
        this->loads.end_attempt(this->loads.begin_attempt(endpoint_id{"e1"}, {}, {}, this->now),
                                attempt_result::failed, this->now);
    }
    for (int index = 0; index < 6; ++index) {
        BOOST_TEST(this->place(this->prompt(10)).endpoint.value() == "e2");
    }
    auto request = this->prompt(10);
    request.excluded = {endpoint_id{"e2"}};
    BOOST_TEST(this->place(request).endpoint.value() == "e1");
}

BOOST_FIXTURE_TEST_CASE(plain_requests_go_to_the_endpoint_with_the_fewest_requests, placer_fixture)
{
    this->engine.reset();
    for (const char* id : {"e1", "e2", "e3"}) {
        this->add(id);
    }
    std::map<endpoint_id, int> placed;
    for (int index = 0; index < 24; ++index) {
        ++placed[this->place(this->prompt(0)).endpoint];
    }
    BOOST_TEST(placed.size() == 3U);
    for (const auto& [id, count] : placed) {
        BOOST_TEST(count >= 7);
        BOOST_TEST(this->loads.total(id).requests == count);
    }
}

BOOST_FIXTURE_TEST_CASE(the_own_zone_is_preferred_at_equal_load, placer_fixture)
{
    this->engine.reset();
    this->add("far", "b");
    this->add("near", "a");
    int near = 0;
    for (int index = 0; index < 20; ++index) {
        const auto chosen =
            this->placer_under_test.choose(this->prompt(0), this->engine, this->now).chosen;
        near += chosen->endpoint.value() == "near" ? 1 : 0;
    }
    BOOST_TEST(near >= 15);
}

// Guards against a herd effect: many nodes choose at the same time from the same digests, in which
// one engine has become idle, and do not receive each other's choices.
BOOST_FIXTURE_TEST_CASE(many_nodes_do_not_all_choose_the_engine_that_became_idle, placer_fixture)
{
    constexpr int engines = 60;
    constexpr int nodes = 80;
    std::map<endpoint_id, endpoint_work> reported;
    for (int index = 0; index < engines; ++index) {
        const auto id = "e" + std::to_string(index);
        this->add(id);
        reported[endpoint_id{id}] = {2, index == 7 ? 0 : 6000, 20'000};
    }
    for (int index = 1; index < nodes; ++index) {
        this->loads.set_peer_work(node_id{std::to_string(index)}, {});
    }
    this->loads.set_peer_work(node_id{"1"}, reported);
    std::map<endpoint_id, int> placed;
    for (int node = 0; node < nodes; ++node) {
        ++placed[this->placer_under_test.choose(this->prompt(6000), this->engine, this->now)
                     .chosen->endpoint];
    }
    BOOST_TEST(placed[endpoint_id{"e7"}] >= 2);
    BOOST_TEST(placed[endpoint_id{"e7"}] <= nodes / 4);
    for (const auto& [id, count] : placed) {
        BOOST_TEST((count <= 8 || id == endpoint_id{"e7"}));
    }
}

BOOST_FIXTURE_TEST_CASE(capacity_outside_the_sample_is_used_when_the_sample_is_full, placer_fixture)
{
    std::map<endpoint_id, endpoint_work> reported;
    for (int index = 0; index < 60; ++index) {
        const auto id = "e" + std::to_string(index);
        this->add(id);
        reported[endpoint_id{id}] = {2, index == 7 ? 0 : 60'000, 20'000};
    }
    for (int index = 1; index < 80; ++index) {
        this->loads.set_peer_work(node_id{std::to_string(index)}, {});
    }
    this->loads.set_peer_work(node_id{"1"}, reported);
    auto request = this->prompt(6000);
    request.max_wait = milliseconds{300};
    for (int index = 0; index < 10; ++index) {
        const auto found = this->placer_under_test.choose(request, this->engine, this->now);
        BOOST_REQUIRE(found.chosen.has_value());
        BOOST_TEST(found.chosen->endpoint.value() == "e7");
    }
}

// In a burst of long prompts, accepted prompts meet their objective, and requests with a longer
// allowed wait are still accepted after the others are refused.
BOOST_FIXTURE_TEST_CASE(prompts_wait_at_most_max_wait_behind_others, placer_fixture)
{
    this->add("e1");
    this->add("e2");
    auto ordinary = this->prompt(2000);
    ordinary.max_wait = milliseconds{200};
    auto urgent = this->prompt(500);
    urgent.max_wait = milliseconds{350};
    int taken = 0;
    while (taken < 100 &&
           this->placer_under_test.choose(ordinary, this->engine, this->now).chosen.has_value()) {
        this->place(ordinary);
        ++taken;
    }
    BOOST_TEST(taken >= 10);
    BOOST_TEST(taken <= 14);
    const auto refused = this->placer_under_test.choose(ordinary, this->engine, this->now);
    BOOST_TEST((refused.reason == placement_failure::all_full));
    BOOST_TEST((refused.wait >= milliseconds{200}));
    BOOST_TEST((this->place(urgent).predicted < milliseconds{350}));
}

// A request that finds only endpoints that are being checked must not be refused for good.
BOOST_FIXTURE_TEST_CASE(endpoints_that_are_being_checked_are_distinguished_from_none,
                        placer_fixture)
{
    const auto before = this->placer_under_test.choose(this->prompt(500), this->engine, this->now);
    BOOST_TEST((before.reason == placement_failure::no_endpoint));
    this->endpoints.on_unchecked([](const endpoint_record&) {});
    this->add("e1");
    const auto unchecked =
        this->placer_under_test.choose(this->prompt(500), this->engine, this->now);
    BOOST_TEST(!unchecked.chosen);
    BOOST_TEST((unchecked.reason == placement_failure::unchecked));
}

// Guards against predictions with the constants where the engines are known to be faster, and
// against a change of the placement for services that their memory limits.
BOOST_FIXTURE_TEST_CASE(learned_costs_are_used_for_slot_bound_services_only, placer_fixture)
{
    this->add("e1");
    const auto predict = [this] {
        return this->placer_under_test.choose(this->prompt(10'000), this->engine, this->now)
            .chosen->predicted;
    };
    const auto constant = predict();
    for (int attempt = 0; attempt < 200; ++attempt) {
        this->costs.record_first_byte(service_id{"draft"}, {0, 10'000, 0, 1.0, milliseconds{100}});
    }
    BOOST_TEST((predict() == constant));
    this->engine->memory = token_count{400'000};
    BOOST_TEST((predict() > milliseconds{90}));
    BOOST_TEST((predict() < milliseconds{115}));
}

} // namespace eelgrassbend
