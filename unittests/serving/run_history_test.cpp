#include "eelgrassbend/serving/run_history.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(only_a_repeatable_request_may_start_a_run_after_a_possible_one)
{
    run_history runs;
    BOOST_TEST(runs.may_start_run(true));
    BOOST_TEST(runs.may_start_run(false));
    BOOST_TEST(!runs.may_have_run());
    runs.record_possible_run();
    BOOST_TEST(runs.may_start_run(true));
    BOOST_TEST(!runs.may_start_run(false));
    BOOST_TEST(runs.may_have_run());
}

} // namespace eelgrassbend
