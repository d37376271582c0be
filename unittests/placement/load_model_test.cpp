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
    const auto attempt = loads.begin(engine, {1000, 1200}, milliseconds{20}, now);
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 1000, 1200}));
    loads.started(attempt, now + milliseconds{20});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 0, 1200}));
    loads.ended(attempt, attempt_result::succeeded, now + seconds{1});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
    BOOST_TEST(loads.own_work().empty());
}

BOOST_AUTO_TEST_CASE(an_attempt_that_never_began_gives_its_prompt_back)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto attempt = loads.begin(engine, {1000, 1200}, milliseconds{20}, now);
    loads.ended(attempt, attempt_result::cancelled, now);
    loads.ended(attempt, attempt_result::cancelled, now);
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
}

BOOST_AUTO_TEST_CASE(the_work_of_other_nodes_is_added_and_forgotten)
{
    load_model loads;
    loads.begin(engine, {10, 20}, milliseconds{20}, monotonic_time{});
    loads.peer_work(node_id{"b"}, {{engine, {2, 100, 300}}});
    loads.peer_work(node_id{"b"}, {{engine, {3, 200, 400}}});
    BOOST_TEST((loads.total(engine) == endpoint_work{4, 210, 420}));
    loads.forget_peer(node_id{"b"});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 10, 20}));
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_is_learnt_and_forgotten)
{
    load_model loads;
    monotonic_time now{seconds{10}};
    for (int index = 0; index < 8; ++index) {
        const auto attempt = loads.begin(engine, {10, 20}, milliseconds{20}, now);
        now += milliseconds{100};
        loads.started(attempt, now);
        loads.ended(attempt, attempt_result::succeeded, now);
    }
    BOOST_TEST(loads.pace(engine, now) > 2.5);
    BOOST_TEST(loads.pace(engine, now + seconds{30}) < 1.1);
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_suspend_an_endpoint_for_a_while)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    for (int index = 0; index < 2; ++index) {
        const auto attempt = loads.begin(engine, {}, milliseconds{20}, now);
        loads.ended(attempt, attempt_result::failed, now);
    }
    BOOST_TEST(loads.is_suspended(engine, now));
    BOOST_TEST(loads.failure_share(engine, now) > 0.3);
    BOOST_TEST(!loads.is_suspended(engine, now + seconds{10}));
}

BOOST_AUTO_TEST_CASE(refusals_and_cancellations_are_no_failures)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    for (const auto how : {attempt_result::refused, attempt_result::cancelled}) {
        for (int index = 0; index < 5; ++index) {
            loads.ended(loads.begin(engine, {}, milliseconds{20}, now), how, now);
        }
    }
    BOOST_TEST(!loads.is_suspended(engine, now));
    BOOST_TEST(loads.failure_share(engine, now) == 0.0);
}

BOOST_AUTO_TEST_CASE(a_silent_endpoint_is_overdue)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    loads.begin(engine, {}, milliseconds{20}, now);
    BOOST_TEST((loads.overdue(engine, now + milliseconds{520}) == milliseconds{500}));
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_keeps_the_work_that_is_under_way)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto attempt = loads.begin(engine, {1000, 1200}, milliseconds{20}, now);
    loads.forget(engine);
    loads.started(attempt, now + milliseconds{20});
    BOOST_TEST((loads.total(engine) == endpoint_work{1, 0, 1200}));
    loads.ended(attempt, attempt_result::failed, now + milliseconds{30});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
}

BOOST_AUTO_TEST_CASE(the_oldest_attempt_without_a_first_byte_tells_how_late_an_endpoint_is)
{
    load_model loads;
    const monotonic_time now{seconds{10}};
    const auto first = loads.begin(engine, {}, milliseconds{20}, now);
    const auto second = loads.begin(engine, {}, milliseconds{20}, now + milliseconds{30});
    BOOST_TEST((loads.overdue(engine, now + milliseconds{10}) == duration{}));
    BOOST_TEST((loads.overdue(engine, now + milliseconds{100}) == milliseconds{80}));
    loads.started(first, now + milliseconds{100});
    BOOST_TEST((loads.overdue(engine, now + milliseconds{100}) == milliseconds{50}));
    loads.ended(second, attempt_result::cancelled, now + milliseconds{100});
    BOOST_TEST((loads.overdue(engine, now + milliseconds{100}) == duration{}));
}

BOOST_AUTO_TEST_CASE(the_sum_over_the_nodes_follows_each_digest)
{
    load_model loads;
    const endpoint_id other{"other"};
    loads.peer_work(node_id{"b"}, {{engine, {2, 100, 300}}, {other, {1, 0, 50}}});
    loads.peer_work(node_id{"c"}, {{engine, {1, 10, 30}}});
    BOOST_TEST(loads.node_count() == 3U);
    loads.peer_work(node_id{"b"}, {{engine, {1, 50, 100}}});
    BOOST_TEST((loads.total(engine) == endpoint_work{2, 60, 130}));
    BOOST_TEST((loads.total(other) == endpoint_work{}));
    loads.forget_peer(node_id{"b"});
    loads.forget_peer(node_id{"c"});
    BOOST_TEST((loads.total(engine) == endpoint_work{}));
    BOOST_TEST(loads.node_count() == 1U);
}

} // namespace eelgrassbend
