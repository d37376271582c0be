#include "eelgrassbend/store/keyed_follower.h"

#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_record_store.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class recording_observer : public keyed_observer {
public:
    void record_written(const std::string& key, const std::string& value) override
    {
        this->values[key] = value;
        this->heard.push_back(value);
    }

    void record_removed(const std::string& key, bool after_gap) override
    {
        this->values.erase(key);
        this->removed_after_gap = after_gap;
        ++this->removals;
    }

    void caught_up(monotonic_time /*as_of*/) override { ++this->confirmations; }

    std::map<std::string, std::string> values;
    std::vector<std::string> heard;
    int removals = 0;
    int confirmations = 0;
    bool removed_after_gap = false;
};

struct follower_fixture {
    void write(const std::string& key, std::optional<std::string> value)
    {
        this->logs.write(this->topic, key, std::move(value));
    }

    virtual_scheduler time;
    seeded_random random{7};
    fake_event_log log;
    store_topic topic{"records", true};
    fakes::fake_store_logs logs;
    fakes::fake_record_store store{this->logs, this->time};
    recording_observer observer;
    keyed_follower follower{this->store, this->time, this->random,  this->log,
                            this->topic, {},         this->observer};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(what_was_written_before_and_after_the_start_is_told, follower_fixture)
{
    this->write("a", "1");
    this->write("b", "1");
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->write("a", "2");
    this->write("b", std::nullopt);
    this->time.run_for(milliseconds{50});
    BOOST_TEST(this->observer.values.size() == 1U);
    BOOST_TEST(this->observer.values["a"] == "2");
    BOOST_TEST(!this->observer.removed_after_gap);
}

BOOST_FIXTURE_TEST_CASE(many_keys_come_in_pages, follower_fixture)
{
    this->store.page_size = 3;
    for (int index = 0; index < 10; ++index) {
        this->write("key-" + std::to_string(index), "1");
    }
    this->follower.start();
    this->time.run_for(milliseconds{100});
    BOOST_TEST(this->observer.values.size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(lost_history_is_made_good_from_the_newest_records, follower_fixture)
{
    this->write("a", "1");
    this->write("b", "1");
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    this->write("a", "2");
    this->write("b", std::nullopt);
    this->logs.forget_history("records");
    this->store.is_down = false;
    this->time.run_for(seconds{2});
    BOOST_TEST(this->observer.values.size() == 1U);
    BOOST_TEST(this->observer.values["a"] == "2");
    BOOST_TEST(this->observer.removed_after_gap);
}

BOOST_FIXTURE_TEST_CASE(a_record_is_told_once, follower_fixture)
{
    this->follower.start();
    this->time.run_for(milliseconds{50});
    for (int index = 0; index < 20; ++index) {
        this->write("a", std::to_string(index));
        this->time.run_for(milliseconds{7});
    }
    this->time.run_for(seconds{5});
    BOOST_TEST(this->observer.heard.size() == 20U);
}

BOOST_FIXTURE_TEST_CASE(freshness_is_the_start_of_a_call_that_succeeded, follower_fixture)
{
    this->follower.start();
    this->time.run_for(seconds{10});
    const auto fresh = this->follower.fresh_as_of();
    BOOST_REQUIRE(fresh.has_value());
    BOOST_TEST((this->time.now() - *fresh <= milliseconds{2 * 2000 + 10}));
    this->store.is_down = true;
    this->time.run_for(seconds{10});
    BOOST_TEST((this->time.now() - *this->follower.fresh_as_of() > seconds{8}));
    BOOST_TEST(this->log.count("dependency_lost") == 1U);
    this->store.is_down = false;
    this->time.run_for(seconds{4});
    BOOST_TEST(this->log.count("dependency_regained") == 1U);
    BOOST_TEST((this->time.now() - *this->follower.fresh_as_of() < seconds{5}));
}

} // namespace eelgrassbend
