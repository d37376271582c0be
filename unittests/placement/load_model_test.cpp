#include "eelgrassbend/placement/load_model.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const endpoint_id engine{"engine"};

BOOST_AUTO_TEST_CASE(work_counts_until_its_end_and_its_prompt_until_the_first_byte)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto attempt = loads.begin_attempt(engine, {1000, 1200}, milliseconds{20}, now);
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 1000, 1200}));
    loads.record_first_byte(attempt, now + milliseconds{20});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 0, 1200}));
    loads.end_attempt(attempt, attempt_result::succeeded, now + seconds{1});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
    BOOST_TEST(loads.own_work().empty());
}

BOOST_AUTO_TEST_CASE(an_attempt_cancelled_before_its_first_byte_releases_its_prompt)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto attempt = loads.begin_attempt(engine, {1000, 1200}, milliseconds{20}, now);
    loads.end_attempt(attempt, attempt_result::cancelled, now);
    loads.end_attempt(attempt, attempt_result::cancelled, now);
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
}

BOOST_AUTO_TEST_CASE(peer_work_is_replaced_and_forgotten)
{
    load_model loads;
    loads.begin_attempt(engine, {10, 20}, milliseconds{20}, monotonic_time{});
    loads.set_peer_work(node_id{"b"}, {{engine, {2, 100, 300}}});
    loads.set_peer_work(node_id{"b"}, {{engine, {3, 200, 400}}});
    BOOST_TEST((loads.total(engine) == endpoint_work{4, 210, 420}));
    loads.forget_peer(node_id{"b"});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 10, 20}));
}

BOOST_AUTO_TEST_CASE(an_observed_slowdown_decays)
{
    load_model loads;
    monotonic_time now{seconds{10}};
    for (int index = 0; index < 8; ++index) {
        const auto attempt = loads.begin_attempt(engine, {10, 20}, milliseconds{20}, now);
        now += milliseconds{100};
        loads.record_first_byte(attempt, now);
        loads.end_attempt(attempt, attempt_result::succeeded, now);
    }
    BOOST_TEST(loads.slowdown(engine, now) > 2.5);
    BOOST_TEST(loads.slowdown(engine, now + seconds{30}) < 1.1);
}

BOOST_AUTO_TEST_CASE(consecutive_failures_suspend_an_endpoint)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    for (int index = 0; index < 2; ++index) {
        const auto attempt = loads.begin_attempt(engine, {}, milliseconds{20}, now);
        loads.end_attempt(attempt, attempt_result::failed, now);
    }
    BOOST_TEST(loads.is_suspended(engine, now));
    BOOST_TEST(loads.failure_share(engine, now) > 0.3);
    BOOST_TEST(!loads.is_suspended(engine, now + seconds{10}));
}

BOOST_AUTO_TEST_CASE(refusals_and_cancellations_do_not_count_as_failures)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    for (const auto result : {attempt_result::refused, attempt_result::cancelled}) {
        for (int index = 0; index < 5; ++index) {
            loads.end_attempt(loads.begin_attempt(engine, {}, milliseconds{20}, now), result, now);
        }
    }
    BOOST_TEST(!loads.is_suspended(engine, now));
    BOOST_TEST(loads.failure_share(engine, now) == 0.0);
}

BOOST_AUTO_TEST_CASE(an_attempt_without_a_first_byte_becomes_overdue)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    loads.begin_attempt(engine, {}, milliseconds{20}, now);
    BOOST_TEST((loads.overdue_time(engine, now + milliseconds{520}) == milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(forgetting_an_endpoint_keeps_its_work_in_flight)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto attempt = loads.begin_attempt(engine, {1000, 1200}, milliseconds{20}, now);
    loads.forget(engine);
    loads.record_first_byte(attempt, now + milliseconds{20});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 0, 1200}));
    loads.end_attempt(attempt, attempt_result::failed, now + milliseconds{30});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
}

BOOST_AUTO_TEST_CASE(overdue_time_follows_the_oldest_attempt_without_a_first_byte)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto first = loads.begin_attempt(engine, {}, milliseconds{20}, now);
    const auto second = loads.begin_attempt(engine, {}, milliseconds{20}, now + milliseconds{30});
    BOOST_TEST((loads.overdue_time(engine, now + milliseconds{10}) == duration{}));
    BOOST_TEST((loads.overdue_time(engine, now + milliseconds{100}) == milliseconds{80}));
    loads.record_first_byte(first, now + milliseconds{100});
    BOOST_TEST((loads.overdue_time(engine, now + milliseconds{100}) == milliseconds{50}));
    loads.end_attempt(second, attempt_result::cancelled, now + milliseconds{100});
    BOOST_TEST((loads.overdue_time(engine, now + milliseconds{100}) == duration{}));
}

BOOST_AUTO_TEST_CASE(peer_sums_follow_each_digest)
{
    load_model loads;
    const endpoint_id other{"other"};
    loads.set_peer_work(node_id{"b"}, {{engine, {2, 100, 300}}, {other, {1, 0, 50}}});
    loads.set_peer_work(node_id{"c"}, {{engine, {1, 10, 30}}});
    BOOST_TEST(loads.node_count() == 3U);
    loads.set_peer_work(node_id{"b"}, {{engine, {1, 50, 100}}});
    BOOST_TEST((loads.total(engine) == endpoint_work{2, 60, 130}));
    BOOST_TEST((loads.total(other) == endpoint_work{}));
    loads.forget_peer(node_id{"b"});
    loads.forget_peer(node_id{"c"});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
    BOOST_TEST(loads.node_count() == 1U);
}

} // namespace eelgrassbend
