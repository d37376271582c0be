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
    this->time.run_for(milliseconds{1950});
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

/// A store that states its era in all its answers.
struct era_fixture : follower_fixture {
    era_fixture()
    {
        this->logs.states_era = true;
        for (int number = 0; number < 10; ++number) {
            this->write("a", std::to_string(number));
        }
    }
};

// The log had grown beyond the position of a node that did not reach the store meanwhile: it read
// on from there, and what was written at the offsets given out again was never applied.
BOOST_FIXTURE_TEST_CASE(offsets_that_were_given_out_again_are_read, era_fixture)
{
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    this->logs.restore(this->topic.name, 5);
    this->write("b", "removed");
    for (int number = 0; number < 10; ++number) {
        this->write("c", std::to_string(number));
    }
    this->store.is_down = false;
    this->time.run_for(seconds{2});
    BOOST_TEST(this->observer.values["b"] == "removed");
    BOOST_TEST(this->observer.values["c"] == "9");
    BOOST_TEST(this->observer.gaps == 1);
}

// Requests with a key are refused while nothing is confirmed, so the pause must not be longer than
// the time in which lost records are written again.
BOOST_FIXTURE_TEST_CASE(confirmations_resume_as_soon_as_lost_records_are_written_again, era_fixture)
{
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->logs.restore(this->topic.name, 5);
    this->write("a", "again");
    this->time.run_for(milliseconds{20});
    const auto noticed = this->time.now();
    BOOST_TEST(this->observer.values["a"] == "again");
    this->time.run_for(milliseconds{1950});
    BOOST_TEST((*this->follower.fresh_as_of() < noticed));
    this->time.run_for(milliseconds{60});
    BOOST_TEST((*this->follower.fresh_as_of() > noticed + milliseconds{1900}));
}

// A node in the former era joined positions of the new one to its own, and missed what lies
// between.
BOOST_FIXTURE_TEST_CASE(positions_of_another_era_are_not_joined, era_fixture)
{
    recording_relay relay;
    recording_observer received;
    follower_settings settings;
    settings.max_wait = {};
    settings.pause = seconds{5};
    const auto node = this->make_follower(relay, settings, received);
    node->start();
    this->time.run_for(seconds{1});
    this->logs.restore(this->topic.name, 5);
    this->write("b", "removed");
    for (int number = 0; number < 6; ++number) {
        this->write("c", std::to_string(number));
    }
    const auto before = *node->fresh_as_of();
    const topic_position relayed{this->topic.name,
                                 log_offset{9},
                                 log_offset{12},
                                 {},
                                 false,
                                 true,
                                 {{log_offset{11}, "c", "5"}},
                                 store_era{1}};
    node->handle_position(relayed, this->time.now());
    BOOST_TEST((*node->fresh_as_of() == before));
    BOOST_TEST(!received.values.contains("c"));
    this->time.run_for(milliseconds{50});
    BOOST_TEST(received.values["b"] == "removed");
    BOOST_TEST(received.values["c"] == "5");
    auto outdated = relayed;
    outdated.era = store_era{0};
    outdated.to = log_offset{40};
    outdated.changes = {{log_offset{39}, "c", "old"}};
    node->handle_position(outdated, this->time.now());
    this->time.run_for(seconds{1});
    BOOST_TEST(received.values["c"] == "5");
}

// An answer may be late, or come from a faulty store; it must not take a node back.
BOOST_FIXTURE_TEST_CASE(an_answer_of_an_earlier_era_is_ignored, era_fixture)
{
    this->logs.era = 3;
    this->follower.start();
    this->time.run_for(seconds{3});
    const auto before = *this->follower.fresh_as_of();
    this->logs.era = 2;
    this->write("a", "earlier");
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values["a"] == "9");
    BOOST_TEST((*this->follower.fresh_as_of() - before <= seconds{2}));
    this->logs.era = 3;
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values["a"] == "earlier");
    BOOST_TEST(this->observer.gaps == 0);
}

// The store may be restored while its newest records are read in pages.
BOOST_FIXTURE_TEST_CASE(pages_of_two_eras_are_not_joined, era_fixture)
{
    this->store.page_size = 1;
    this->write("b", "1");
    this->write("c", "1");
    this->follower.start();
    this->time.run_for(milliseconds{6});
    this->logs.restore(this->topic.name, 12);
    this->write("b", "2");
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values.size() == 1U);
    BOOST_TEST(this->observer.values["b"] == "2");
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

// The offsets of the buffered position were given out again, and what was written there was missed.
BOOST_FIXTURE_TEST_CASE(a_buffered_position_of_a_former_era_is_not_applied, era_fixture)
{
    recording_relay relay;
    recording_observer received;
    follower_settings settings;
    settings.gap_timeout = seconds{60};
    const auto node = this->make_follower(relay, settings, received);
    node->start();
    this->time.run_for(seconds{1});
    const topic_position buffered{this->topic.name,
                                  log_offset{11},
                                  log_offset{12},
                                  {},
                                  false,
                                  true,
                                  {{log_offset{11}, "b", "former"}},
                                  store_era{0}};
    node->handle_position(buffered, this->time.now());
    this->logs.restore(this->topic.name, 5);
    for (int number = 0; number < 6; ++number) {
        this->write("c", std::to_string(number));
    }
    this->time.run_for(milliseconds{50});
    const topic_position next{this->topic.name, log_offset{11}, log_offset{11}, {}, false, true, {},
                              store_era{1}};
    node->handle_position(next, this->time.now());
    this->write("b", "new");
    this->time.run_for(seconds{1});
    BOOST_TEST(received.values["b"] == "new");
}

} // namespace eelgrassbend
