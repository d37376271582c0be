#include "eelgrassbend/logging/rate_limited_event_log.h"

#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(excess_lines_are_dropped_and_counted)
{
    virtual_scheduler time;
    fake_event_log target;
    rate_limited_event_log log{target, time, 100.0};
    for (int index = 0; index < 1000; ++index) {
        log.write(log_level::info, "route", {});
    }
    BOOST_TEST(target.count("route") == 100U);
    time.run_for(milliseconds{500});
    log.write(log_level::info, "route", {});
    BOOST_TEST(target.count("route") == 101U);
    BOOST_REQUIRE(target.count("lines_dropped") == 1U);
    BOOST_TEST(target.events[100].second["count"] == 900);
}

BOOST_AUTO_TEST_CASE(info_lines_do_not_use_the_budget_of_warnings)
{
    virtual_scheduler time;
    fake_event_log target;
    rate_limited_event_log log{target, time, 10.0};
    for (int index = 0; index < 100; ++index) {
        log.write(log_level::info, "route", {});
    }
    log.write(log_level::warning, "attempt_failed", {});
    BOOST_TEST(target.count("attempt_failed") == 1U);
}

// Many attempts fail at once when an engine crashes; the decision about it is logged meanwhile.
BOOST_AUTO_TEST_CASE(warnings_do_not_use_the_budget_of_errors)
{
    virtual_scheduler time;
    fake_event_log target;
    rate_limited_event_log log{target, time, 10.0};
    for (int index = 0; index < 100; ++index) {
        log.write(log_level::warning, "attempt_failed", {});
    }
    log.write(log_level::error, "quarantine_started", {});
    BOOST_TEST(target.count("quarantine_started") == 1U);
}

BOOST_AUTO_TEST_CASE(a_rate_below_the_limit_drops_no_lines)
{
    virtual_scheduler time;
    fake_event_log target;
    rate_limited_event_log log{target, time, 100.0};
    for (int index = 0; index < 500; ++index) {
        time.run_for(milliseconds{20});
        log.write(log_level::info, "route", {});
    }
    BOOST_TEST(target.count("route") == 500U);
    BOOST_TEST(target.count("lines_dropped") == 0U);
}

} // namespace eelgrassbend
