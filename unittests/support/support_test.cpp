#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/uuid.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(virtual_time_runs_callbacks_in_order_of_time)
{
    virtual_scheduler time;
    std::string seen;
    time.call_after(milliseconds{20}, [&] { seen += "b"; });
    time.call_after(milliseconds{10}, [&] { seen += "a"; });
    const auto cancelled = time.call_after(milliseconds{15}, [&] { seen += "x"; });
    time.cancel(cancelled);
    time.run_for(milliseconds{15});
    BOOST_TEST(seen == "a");
    time.run_for(milliseconds{15});
    BOOST_TEST(seen == "ab");
    BOOST_TEST((time.now().time_since_epoch() == milliseconds{30}));
}

BOOST_AUTO_TEST_CASE(uuid_v7_keeps_its_time)
{
    seeded_random random{7};
    const wall_time made{milliseconds{1'767'225'600'123}};
    const auto text = make_uuid_v7(made, random);
    BOOST_TEST((uuid_v7_time(text).value() == made));
    BOOST_TEST(!uuid_v7_time("not a uuid").has_value());
    BOOST_TEST(!uuid_v7_time("ffffffff-ffff-7fff-bfff-ffffffffffff").has_value());
    BOOST_TEST(!uuid_v7_time("7f8c1d1e-3d8e-4f6a-9d5b-0c1d2e3f4a5b").has_value());
}

BOOST_AUTO_TEST_CASE(rendezvous_moves_only_the_keys_of_a_lost_member)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "d"};
    for (int key = 0; key < 200; ++key) {
        const auto text = std::to_string(key);
        const auto before = rendezvous(text, all, 1).front();
        const auto after = rendezvous(text, fewer, 1).front();
        BOOST_TEST((before == "c" || before == after));
    }
}

BOOST_AUTO_TEST_CASE(an_error_names_step_and_peer)
{
    const auto failure = make_error(errc::timed_out, "append claim", "platform log", "no answer");
    BOOST_TEST(failure.to_string() == "append claim (platform log): timed out: no answer");
}

} // namespace eelgrassbend
