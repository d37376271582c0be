#include "follower_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A log that ended before the follower's position was taken for one without new records: what was
// written at the offsets given out again was never applied, and yet confirmed.
BOOST_FIXTURE_TEST_CASE(a_log_that_ends_before_the_position_is_read_anew, follower_fixture)
{
    for (int number = 0; number < 10; ++number) {
        this->write("a", std::to_string(number));
    }
    this->follower.start();
    this->time.run_for(seconds{1});
    this->logs.restore(this->topic.name, 5);
    this->time.run_for(seconds{4});
    this->write("a", "removed");
    this->time.run_for(seconds{4});
    BOOST_TEST(this->observer.values["a"] == "removed");
    BOOST_TEST((this->time.now() - *this->follower.fresh_as_of() <= seconds{4}));
}

// What others wrote and the store lost is written again after a while, so that a read before that
// proves nothing.
BOOST_FIXTURE_TEST_CASE(a_restored_log_confirms_nothing_until_lost_records_are_written_again,
                        follower_fixture)
{
    for (int number = 0; number < 10; ++number) {
        this->write("a", std::to_string(number));
    }
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->logs.restore(this->topic.name, 5);
    const auto before = this->time.now();
    this->time.run_for(milliseconds{3900});
    BOOST_TEST((*this->follower.fresh_as_of() <= before));
    this->time.run_for(seconds{4});
    BOOST_TEST((*this->follower.fresh_as_of() > before + seconds{2}));
}

// The records of endpoints that the store lost must not end their use: they are written again.
BOOST_FIXTURE_TEST_CASE(a_record_that_a_restored_log_lacks_counts_as_lost_in_a_gap,
                        follower_fixture)
{
    this->write("a", "1");
    this->write("b", "1");
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->logs.restore(this->topic.name, 1);
    this->time.run_for(seconds{3});
    BOOST_TEST(!this->observer.values.contains("b"));
    BOOST_TEST(this->observer.removed_after_gap);
}

// Among the records that a node did not see may be the notice that an endpoint leaves.
BOOST_FIXTURE_TEST_CASE(an_observer_is_told_that_records_may_have_been_missed, follower_fixture)
{
    this->write("a", "1");
    this->follower.start();
    this->time.run_for(milliseconds{50});
    BOOST_TEST(this->observer.gaps == 0);
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    this->write("a", "2");
    this->logs.forget_history(this->topic.name);
    this->store.is_down = false;
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values["a"] == "2");
    BOOST_TEST(this->observer.gaps == 1);
}

// The same position may be refused again and again by a faulty store.
BOOST_FIXTURE_TEST_CASE(a_store_that_refuses_each_position_is_not_asked_without_a_pause,
                        follower_fixture)
{
    this->store.refuses_positions = true;
    this->write("a", "1");
    this->follower.start();
    this->time.run_for(seconds{10});
    BOOST_TEST(this->observer.values["a"] == "1");
    BOOST_TEST(this->store.calls <= 50);
}

} // namespace eelgrassbend
