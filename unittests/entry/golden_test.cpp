#include "golden_session.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(golden_session_of_plain_use)
{
    golden_session session{fakes::example_bundle()};
    auto& time = session.fleet.time;
    session.send_chat(0, true, 6);
    time.run_for(seconds{3});
    session.send_chat(1, false, 6);
    time.run_for(seconds{3});
    session.send(0, {"GET", "/services/order-desk/orders?ms=5", {}, ""});
    time.run_for(seconds{3});
    const auto key = session.make_key();
    session.send_order(0, key);
    time.run_for(seconds{3});
    const auto again = session.send_order(2, key);
    time.run_for(seconds{20});
    BOOST_TEST(again->header("Eelgrassbend-Replayed") == "true");
    session.compare_with_golden("plain_use");
}

BOOST_AUTO_TEST_CASE(golden_session_of_a_reclaimed_endpoint)
{
    golden_session session{fakes::example_bundle()};
    auto& time = session.fleet.time;
    const auto answer = session.send_chat(0, true, 120);
    time.run_for(milliseconds{200});
    const auto runs = session.fleet.executions();
    BOOST_REQUIRE(runs.size() == 1);
    const std::string reclaimed =
        session.fleet.endpoints.named("draft-arusha-a").executions.lines().empty()
            ? "draft-moshi-a"
            : "draft-arusha-a";
    session.fleet.platform.announce(reclaimed, seconds{1});
    time.run_for(seconds{1});
    session.fleet.endpoints.kill(reclaimed);
    time.run_for(seconds{20});
    BOOST_TEST(answer->ended);
    BOOST_TEST(session.fleet.executions().size() == 2);
    session.compare_with_golden("reclaimed_endpoint");
}

BOOST_AUTO_TEST_CASE(golden_session_of_refusals)
{
    auto rules = fakes::example_bundle();
    auto& venue = rules.organisations[1];
    venue.services = {service_id{"draft-llm"}};
    venue.concurrent_requests = 1;
    golden_session session{rules};
    auto& time = session.fleet.time;
    session.send_chat(0, true, 3, {}, "key-3");
    session.send(0, {"GET", "/services/order-desk/orders", {}, ""}, "key-2");
    session.send(0, {"POST", "/v1/chat/completions", {}, "{\"model\":"});
    time.run_for(seconds{1});
    session.send_chat(0, true, 20, {}, "key-2");
    time.run_for(milliseconds{100});
    const auto limited = session.send_chat(0, true, 3, {}, "key-2");
    time.run_for(seconds{5});
    BOOST_TEST(limited->status == 429);
    session.fleet.platform.log.outage = true;
    time.run_for(seconds{2});
    session.send_order(1, session.make_key());
    time.run_for(seconds{6});
    session.fleet.platform.log.outage = false;
    time.run_for(seconds{5});
    session.node(0).clock.pause();
    time.run_for(seconds{60});
    session.node(0).clock.resume();
    const auto stale = session.send_chat(0, true, 3);
    time.run_for(seconds{20});
    BOOST_TEST(stale->status == 503);
    session.compare_with_golden("refusals");
}

BOOST_AUTO_TEST_CASE(golden_session_of_a_stream_that_is_handed_over)
{
    golden_session session{fakes::example_bundle()};
    auto& time = session.fleet.time;
    const auto first = session.send_chat(0, true, 40);
    time.run_for(milliseconds{300});
    session.node(0).request_handler->hand_over_streams();
    time.run_for(milliseconds{500});
    session.fleet.kill(session.node(0));
    BOOST_TEST(first->lost);
    const auto id = first->body.rfind("id: ");
    BOOST_REQUIRE(id != std::string::npos);
    const auto last = first->body.substr(id + 4, first->body.find('\n', id) - id - 4);
    const auto resumed = session.send_chat(2, true, 40, {{"Last-Event-ID", last}});
    time.run_for(seconds{20});
    BOOST_TEST(resumed->ended);
    BOOST_TEST(resumed->status == 200);
    session.compare_with_golden("handed_over_stream");
}

} // namespace eelgrassbend
