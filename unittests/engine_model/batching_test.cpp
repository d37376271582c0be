#include "engine_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(a_batch_takes_less_time_than_its_attempts_in_sequence)
{
    engine_fixture alone;
    alone.submit(test_request("a", "one badge", 50));
    alone.time.run_all();
    engine_fixture batch;
    for (const auto* name : {"a", "b", "c", "d"}) {
        batch.submit(test_request(name, std::string{"badge "} + name, 50));
    }
    batch.time.run_all();
    BOOST_TEST(batch.observer.finish_order.size() == 4U);
    BOOST_TEST((batch.last_token_time("d") > alone.last_token_time("a")));
    BOOST_TEST((batch.last_token_time("d") < 2 * alone.last_token_time("a")));
}

BOOST_AUTO_TEST_CASE(running_attempts_do_not_exceed_the_slots)
{
    engine_fixture test;
    for (int index = 0; index < 7; ++index) {
        test.submit(test_request(std::to_string(index), "badge", 20));
    }
    test.time.run_for(milliseconds{100});
    BOOST_TEST(test.engine.current_load().running == 4U);
    BOOST_TEST(test.engine.current_load().queued == 3U);
    BOOST_TEST(test.engine.current_load().queued_prompt_tokens.value() == 3);
    test.time.run_all();
    BOOST_TEST(test.observer.finish_order.size() == 7U);
    BOOST_TEST(test.engine.current_load().running == 0U);
}

BOOST_AUTO_TEST_CASE(prefill_slows_the_attempts_that_decode)
{
    engine_fixture quiet;
    quiet.submit(test_request("a", "badge", 100));
    quiet.time.run_all();
    engine_fixture mixed;
    mixed.submit(test_request("a", "badge", 100));
    mixed.submit(test_request("b", long_prompt("cup", 4000), 1));
    mixed.time.run_all();
    // The prefill of 4,000 tokens at 8,000 tokens per second takes 0.5 s of engine time.
    BOOST_TEST((mixed.last_token_time("a") - quiet.last_token_time("a") > milliseconds{450}));
    BOOST_TEST((mixed.last_token_time("b") > milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(the_queue_is_ordered_by_priority_then_arrival)
{
    auto settings = test_settings();
    settings.slots = 1;
    engine_fixture test{settings};
    test.submit(test_request("first", "a", 10));
    test.submit(test_request("low", "b", 10));
    auto urgent = test_request("urgent", "c", 10);
    urgent.priority = 5;
    test.submit(urgent);
    test.submit(test_request("low-later", "d", 10));
    test.time.run_all();
    const std::vector<std::string> expected{"first", "urgent", "low", "low-later"};
    BOOST_TEST(test.observer.finish_order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_and_a_cancelled_attempt_frees_its_slot)
{
    auto settings = test_settings();
    settings.slots = 1;
    settings.queue_limit = 1;
    engine_fixture test{settings};
    test.submit(test_request("a", "a", 1000));
    test.submit(test_request("b", "b", 10));
    const auto refused = test.engine.submit(test_request("c", "c", 10), test.observer);
    BOOST_TEST((refused.error().code == errc::unavailable));
    test.time.run_for(seconds{1});
    BOOST_TEST(test.observer.records["b"].times.empty());
    BOOST_TEST(test.engine.cancel(attempt_id{"a"}));
    BOOST_TEST(!test.engine.cancel(attempt_id{"a"}));
    test.time.run_all();
    const auto& ended = test.observer.records["a"];
    BOOST_TEST(ended.cancelled == 1);
    BOOST_TEST(ended.finished == 0);
    BOOST_TEST(ended.times.size() == static_cast<std::size_t>(ended.usage.output_tokens.value()));
    BOOST_TEST(test.observer.records["b"].finished == 1);
}

BOOST_AUTO_TEST_CASE(an_attempt_ends_at_its_deadline)
{
    engine_fixture test;
    auto request = test_request("a", "a", 1000);
    request.deadline = milliseconds{500};
    test.submit(request);
    test.time.run_all();
    BOOST_TEST(test.observer.records["a"].cancelled == 1);
    BOOST_TEST((test.last_token_time("a") <= milliseconds{550}));
    request.deadline = milliseconds{0};
    BOOST_TEST((test.engine.submit(request, test.observer).error().code == errc::timed_out));
}

BOOST_AUTO_TEST_CASE(a_slowdown_delays_steps_until_it_is_reset)
{
    engine_fixture test;
    test.submit(test_request("a", "a", 100));
    test.time.run_for(milliseconds{500});
    const auto normal = test.observer.records["a"].times.size();
    test.engine.set_slowdown(10.0);
    test.time.run_for(milliseconds{500});
    const auto slow = test.observer.records["a"].times.size() - normal;
    BOOST_TEST(slow * 8 < normal);
    test.engine.set_slowdown(1.0);
    test.time.run_all();
    BOOST_TEST(test.observer.records["a"].finished == 1);
}

BOOST_AUTO_TEST_CASE(a_destroyed_engine_calls_no_observer)
{
    virtual_scheduler time;
    seeded_random random{1};
    recording_engine_observer observer{time};
    {
        engine_model engine{test_settings(), time, random};
        BOOST_TEST(engine.submit(test_request("a", "a", 100), observer).has_value());
        time.run_for(milliseconds{200});
        engine.export_kv(attempt_id{"a"}, [](const auto&) { BOOST_ERROR("engine is gone"); });
    }
    const auto tokens = observer.records["a"].times.size();
    time.run_all();
    BOOST_TEST(tokens > 0U);
    BOOST_TEST(observer.records["a"].times.size() == tokens);
}

} // namespace eelgrassbend
