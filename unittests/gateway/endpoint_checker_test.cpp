#include "eelgrassbend/gateway/endpoint_checker.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"
#include "platform/forward_headers.h"
#include "serving/serving_fakes.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Endpoints of a service with a health path, which are checked.
struct checker_fixture {
    checker_fixture()
    {
        this->endpoints.on_unchecked(
            [this](const endpoint_record& record) { this->checker.request_check(record); });
        this->declare("/healthz");
    }

    void declare(const std::string& health_path)
    {
        routing_configuration configuration;
        routed_service desk;
        desk.id = service_id{"desk"};
        desk.health_path = health_path;
        configuration.services = {desk};
        this->checker.set_table(std::make_shared<const route_table>(std::move(configuration)));
    }

    void add(const std::string& id, std::uint16_t port = 80, std::int64_t started = 17)
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = service_id{"desk"};
        record.address = {"10.0.2.1", port};
        record.slots = 4;
        record.started = started;
        this->endpoints.put(record, this->time.now());
    }

    void answer(std::size_t call, int status, const header_list& headers)
    {
        auto& attempt = *this->client.attempts.at(call);
        BOOST_REQUIRE(attempt.observer != nullptr);
        attempt.observer->on_head(status, headers);
        attempt.observer->on_completed();
    }

    [[nodiscard]] std::size_t usable() const
    {
        return this->endpoints.usable(service_id{"desk"}, this->time.now()).size();
    }

    virtual_scheduler time;
    seeded_random random{5};
    fake_event_log log;
    fake_metrics counters;
    fake_endpoint_client client;
    forward_headers protocol;
    endpoint_table endpoints{milliseconds{1200}};
    endpoint_checker checker{{client, protocol, endpoints, time, random, log, counters}, {}};
};

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_answers_its_health_path_is_used, checker_fixture)
{
    this->add("i-1");
    BOOST_TEST(this->usable() == 0U);
    const auto& sent = this->client.last().request;
    BOOST_TEST(sent.method == "GET");
    BOOST_TEST(sent.target == "/healthz");
    BOOST_TEST(sent.attempt.value().empty());
    this->answer(0, 200, {{"X-Eelgrassbend-Instance-Id", "i-1"}});
    BOOST_TEST(this->usable() == 1U);
}

// A leaving endpoint whose older record says that it is ready got requests until it had left.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_says_that_it_leaves_is_not_used, checker_fixture)
{
    for (const int status : {200, 503}) {
        const std::string id = "i-" + std::to_string(status);
        this->add(id);
        this->answer(this->client.attempts.size() - 1, status, {{"Server-Leaving", "1"}});
        BOOST_TEST(this->usable() == 0U);
        BOOST_TEST(this->endpoints.find(endpoint_id{id})->record.is_draining);
    }
    this->time.run_for(seconds{20});
    BOOST_TEST(this->client.attempts.size() == 2U);
}

// An endpoint without a free slot may refuse a check; it would stay unused while it is busy.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_refuses_the_check_for_want_of_a_slot_is_used,
                        checker_fixture)
{
    this->add("i-1");
    this->answer(0, 503, {{"X-Eelgrassbend-Not-Executed", "1"}});
    BOOST_TEST(this->usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_check_without_a_result_is_repeated_after_growing_pauses, checker_fixture)
{
    this->add("i-1");
    this->answer(0, 503, {{"X-Eelgrassbend-Instance-Id", "i-1"}});
    this->time.run_for(milliseconds{100});
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    this->client.last().observer->on_failed(make_error(errc::unavailable, "connect", "i-1"),
                                            dispatch_state::not_sent);
    this->time.run_for(milliseconds{200});
    BOOST_REQUIRE(this->client.attempts.size() == 3U);
    // No answer at all: each call ends after its timeout.
    this->time.run_for(seconds{60});
    BOOST_TEST(this->client.attempts.size() > 20U);
    BOOST_TEST(this->client.attempts.size() < 60U);
    BOOST_TEST(this->usable() == 0U);
    if (this->client.last().observer == nullptr) {
        this->time.run_for(seconds{2});
    }
    this->answer(this->client.attempts.size() - 1, 200, {});
    BOOST_TEST(this->usable() == 1U);
}

// The address of an endpoint that has ended may be given to another one.
BOOST_FIXTURE_TEST_CASE(the_answer_of_another_endpoint_is_no_result, checker_fixture)
{
    this->add("i-1");
    this->answer(0, 200, {{"X-Eelgrassbend-Instance-Id", "i-9"}});
    BOOST_TEST(this->usable() == 0U);
    this->time.run_for(milliseconds{100});
    this->answer(1, 421, {});
    BOOST_TEST(this->usable() == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_check_of_a_former_incarnation_does_not_count, checker_fixture)
{
    this->add("i-1", 80, 17);
    this->add("i-1", 80, 18);
    BOOST_TEST((this->client.attempts.at(0)->observer == nullptr));
    this->answer(1, 200, {});
    BOOST_TEST(this->usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_is_gone_is_not_called_again, checker_fixture)
{
    this->add("i-1");
    this->endpoints.remove(endpoint_id{"i-1"}, this->time.now(), false);
    this->time.run_for(seconds{20});
    BOOST_TEST(this->client.attempts.size() == 1U);
}

// Nodes that start together must not all connect to the same endpoint at once.
BOOST_FIXTURE_TEST_CASE(few_checks_are_in_flight_and_their_order_is_random, checker_fixture)
{
    constexpr std::uint16_t endpoints = 200;
    const std::size_t most = check_settings{}.max_calls;
    for (std::uint16_t number = 1; number <= endpoints; ++number) {
        this->add("i-" + std::to_string(1000 + number), number);
    }
    BOOST_TEST(this->client.attempts.size() == most);
    for (std::size_t call = 0; call < this->client.attempts.size(); ++call) {
        this->answer(call, 200, {});
        BOOST_REQUIRE(this->client.attempts.size() <= call + 1 + most);
    }
    BOOST_TEST(this->usable() == endpoints);
    int in_order = 0;
    for (std::size_t call = most; call + 1 < endpoints; ++call) {
        const auto& calls = this->client.attempts;
        in_order += calls[call]->address.port + 1 == calls[call + 1]->address.port ? 1 : 0;
    }
    BOOST_TEST(in_order < 50);
}

// The records of endpoints may be read before the first configuration.
BOOST_FIXTURE_TEST_CASE(a_service_that_is_declared_later_is_checked_then, checker_fixture)
{
    endpoint_record record;
    record.id = endpoint_id{"i-1"};
    record.service = service_id{"llm"};
    record.slots = 4;
    this->endpoints.put(record, this->time.now());
    BOOST_TEST(this->client.attempts.empty());
    routing_configuration configuration;
    routed_service llm;
    llm.id = service_id{"llm"};
    llm.health_path = "/ready";
    configuration.services = {llm};
    this->checker.set_table(std::make_shared<const route_table>(std::move(configuration)));
    BOOST_REQUIRE(this->client.attempts.size() == 1U);
    BOOST_TEST(this->client.last().request.target == "/ready");
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_without_a_health_path_is_used_at_once, checker_fixture)
{
    this->declare("");
    this->add("i-1");
    BOOST_TEST(this->usable() == 1U);
    BOOST_TEST(this->client.attempts.empty());
}

// A faulty endpoint may send a body without end.
BOOST_FIXTURE_TEST_CASE(a_long_answer_to_a_check_is_broken_off, checker_fixture)
{
    this->add("i-1");
    auto& attempt = this->client.last();
    attempt.observer->on_head(200, {});
    const std::string bytes(4096, 'x');
    for (int part = 0; part < 100 && attempt.observer != nullptr; ++part) {
        attempt.observer->on_body(bytes);
    }
    BOOST_TEST((attempt.observer == nullptr));
    BOOST_TEST(this->usable() == 1U);
}

} // namespace eelgrassbend
