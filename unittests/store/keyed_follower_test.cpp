#include "follower_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_CASE(records_written_before_and_after_the_start_are_reported, follower_fixture)
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

// A store under the load of many starting nodes fails at times; pages already received must not be
// requested again.
BOOST_FIXTURE_TEST_CASE(only_the_failed_page_is_requested_again, follower_fixture)
{
    constexpr int keys = 40;
    this->store.page_size = 1;
    for (int number = 0; number < keys; ++number) {
        this->write("key-" + std::to_string(100 + number), "x");
    }
    this->follower.start();
    int failures = 0;
    for (int step = 0; step < 2000 && this->observer.confirmations == 0; ++step) {
        const int before = this->store.calls;
        this->store.is_down = step % 5 == 4;
        this->time.run_for(milliseconds{10});
        failures += this->store.is_down ? this->store.calls - before : 0;
    }
    BOOST_TEST(this->observer.values.size() == static_cast<std::size_t>(keys));
    BOOST_TEST(this->observer.confirmations >= 1);
    BOOST_TEST(this->store.calls <= keys + failures + 15);
}

BOOST_FIXTURE_TEST_CASE(many_keys_are_read_in_pages, follower_fixture)
{
    this->store.page_size = 3;
    for (int index = 0; index < 10; ++index) {
        this->write("key-" + std::to_string(index), "1");
    }
    this->follower.start();
    this->time.run_for(milliseconds{100});
    BOOST_TEST(this->observer.values.size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(expired_history_is_recovered_from_the_newest_records, follower_fixture)
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

BOOST_FIXTURE_TEST_CASE(a_record_is_reported_once, follower_fixture)
{
    this->follower.start();
    this->time.run_for(milliseconds{50});
    for (int index = 0; index < 20; ++index) {
        this->write("a", std::to_string(index));
        this->time.run_for(milliseconds{7});
    }
    this->time.run_for(seconds{5});
    BOOST_TEST(this->observer.received.size() == 20U);
}

BOOST_FIXTURE_TEST_CASE(freshness_is_the_start_of_a_successful_call, follower_fixture)
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

// The first page of a long log was taken for all that had been written before the read, so that an
// old configuration counted as confirmed.
BOOST_FIXTURE_TEST_CASE(a_partial_page_of_the_log_confirms_nothing, follower_fixture)
{
    constexpr std::size_t keys = 10;
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    for (std::size_t number = 0; number < keys; ++number) {
        this->write("key-" + std::to_string(number), "1");
    }
    const auto before = this->follower.fresh_as_of();
    const int confirmations = this->observer.confirmations;
    this->store.log_page_size = 2;
    this->store.is_down = false;
    bool has_partial_state = false;
    for (int step = 0; step < 2000 && this->observer.values.size() < keys; ++step) {
        this->time.run_for(milliseconds{1});
        if (this->observer.values.size() < keys) {
            has_partial_state = has_partial_state || !this->observer.values.empty();
            BOOST_REQUIRE((this->follower.fresh_as_of() == before));
            BOOST_REQUIRE(this->observer.confirmations == confirmations);
        }
    }
    BOOST_TEST(has_partial_state);
    BOOST_TEST(this->observer.values.size() == keys);
    BOOST_TEST((this->time.now() - *this->follower.fresh_as_of() <= milliseconds{10}));
}

// What follows a partial page has been written already, so neither a pause between the reads nor
// the relay may delay it.
BOOST_FIXTURE_TEST_CASE(the_rest_of_a_partial_page_is_read_at_once, follower_fixture)
{
    follower_settings settings;
    settings.pause = seconds{5};
    recording_observer received;
    const auto slow = this->make_follower(this->direct_reads, settings, received);
    slow->start();
    this->time.run_for(milliseconds{5});
    for (int number = 0; number < 10; ++number) {
        this->write("key-" + std::to_string(number), "1");
    }
    this->store.log_page_size = 2;
    this->time.run_for(seconds{6});
    BOOST_TEST(received.values.size() == 10U);
}

// A record without a key at the end of the log was read again and again.
BOOST_FIXTURE_TEST_CASE(a_record_that_cannot_be_decoded_is_passed_over, follower_fixture)
{
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->store.undecodable_key = "odd";
    this->write("a", "1");
    this->write("odd", "1");
    const int calls = this->store.calls;
    this->time.run_for(seconds{10});
    BOOST_TEST(this->store.calls - calls <= 8);
    BOOST_TEST((this->time.now() - *this->follower.fresh_as_of() <=
                2 * follower_settings{}.max_wait + milliseconds{50}));
}

namespace {

/// One follower that reads and one that receives its positions.
struct relay_fixture : follower_fixture {
    relay_fixture()
    {
        this->reader_relay.is_reading = true;
        this->first.start();
        this->second.start();
        this->time.run_for(milliseconds{50});
    }

    /// Delivers the positions published since the last call.
    void deliver_positions()
    {
        for (const auto& position : std::exchange(this->reader_relay.published, {})) {
            this->second.handle_position(position, this->time.now() - position.age);
        }
    }

    recording_relay reader_relay;
    recording_relay receiver_relay;
    recording_observer second_observer;
    keyed_follower first{this->store,    this->time,         this->random, this->log,
                         this->counters, this->reader_relay, this->topic,  {},
                         this->observer};
    keyed_follower second{this->store,          this->time,           this->random, this->log,
                          this->counters,       this->receiver_relay, this->topic,  {},
                          this->second_observer};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_follower_that_receives_all_changes_does_not_read, relay_fixture)
{
    this->time.run_for(seconds{2});
    this->deliver_positions();
    this->time.run_for(seconds{2});
    const int before = this->store.calls;
    for (int index = 0; index < 20; ++index) {
        this->write("a", std::to_string(index));
        this->time.run_for(milliseconds{10});
        this->deliver_positions();
        BOOST_TEST(this->second_observer.values["a"] == std::to_string(index));
        this->time.run_for(milliseconds{490});
    }
    this->write("a", std::nullopt);
    this->time.run_for(milliseconds{10});
    this->deliver_positions();
    BOOST_TEST(this->second_observer.values.empty());
    BOOST_TEST(this->store.calls - before <= 23);
    BOOST_TEST((this->time.now() - *this->second.fresh_as_of() < milliseconds{600}));
}

BOOST_FIXTURE_TEST_CASE(a_follower_that_missed_a_change_reads_at_once, relay_fixture)
{
    this->time.run_for(seconds{3});
    this->deliver_positions();
    this->time.run_for(milliseconds{100});
    for (int index = 0; index < 6; ++index) {
        this->write("a", std::to_string(index));
        this->time.run_for(milliseconds{20});
    }
    this->reader_relay.published.erase(this->reader_relay.published.begin(),
                                       this->reader_relay.published.end() - 1);
    this->deliver_positions();
    this->time.run_for(milliseconds{20});
    BOOST_TEST(this->second_observer.values["a"] == "5");
}

// A datagram that overtakes another one leaves a short gap.
BOOST_FIXTURE_TEST_CASE(a_gap_that_closes_in_time_causes_no_read, relay_fixture)
{
    follower_settings settings;
    settings.gap_timeout = milliseconds{300};
    recording_observer received;
    const auto third = this->make_follower(this->receiver_relay, settings, received);
    third->start();
    this->time.run_for(seconds{3});
    for (const auto& position : std::exchange(this->reader_relay.published, {})) {
        third->handle_position(position, this->time.now() - position.age);
    }
    this->time.run_for(milliseconds{100});
    for (int index = 0; index < 5; ++index) {
        this->write("a", std::to_string(index));
        this->time.run_for(milliseconds{20});
    }
    const int before = this->store.calls;
    const auto published = std::exchange(this->reader_relay.published, {});
    for (auto position = published.rbegin(); position != published.rend(); ++position) {
        third->handle_position(*position, this->time.now());
    }
    BOOST_TEST(received.values["a"] == "4");
    BOOST_TEST(this->store.calls == before);
}

// Each read takes several datagrams, and the second one is always lost.
BOOST_FIXTURE_TEST_CASE(a_persistent_gap_is_closed_by_a_read, relay_fixture)
{
    follower_settings settings;
    settings.gap_timeout = milliseconds{300};
    recording_observer received;
    const auto third = this->make_follower(this->receiver_relay, settings, received);
    third->start();
    this->time.run_for(milliseconds{50});
    const auto start = this->time.now();
    log_offset end{0};
    for (int round = 0; round < 5; ++round) {
        const auto from = end;
        for (int index = 0; index < 4; ++index) {
            this->write("key-" + std::to_string(4 * round + index), "x");
        }
        end = log_offset{from.value() + 4};
        const auto now = this->time.now();
        third->handle_position({this->topic.name, from, from + log_offset{2}, {}, false, false, {}},
                               now);
        third->handle_position({this->topic.name, from + log_offset{3}, end, {}, false, true, {}},
                               now);
        this->time.run_for(milliseconds{100});
    }
    BOOST_TEST((this->time.now() - start < seconds{1}));
    BOOST_TEST(received.values.contains("key-2"));
}

BOOST_FIXTURE_TEST_CASE(a_partial_read_confirms_nothing, relay_fixture)
{
    this->time.run_for(seconds{1});
    this->deliver_positions();
    const auto before = this->second.fresh_as_of();
    this->write("a", "1");
    this->time.run_for(milliseconds{20});
    auto position = this->reader_relay.published.back();
    position.is_end = false;
    this->second.handle_position(position, this->time.now());
    BOOST_TEST((this->second.fresh_as_of() == before));
    position.is_end = true;
    this->second.handle_position(position, this->time.now());
    BOOST_TEST((*this->second.fresh_as_of() == this->time.now()));
}

// A reader that has only a part of the log must not confirm more to the nodes that it reads for.
BOOST_FIXTURE_TEST_CASE(a_partial_page_of_the_reader_confirms_nothing, relay_fixture)
{
    this->time.run_for(seconds{1});
    this->deliver_positions();
    this->time.run_for(milliseconds{3});
    const auto before = this->second.fresh_as_of();
    this->store.log_page_size = 2;
    for (int number = 0; number < 10; ++number) {
        this->write("key-" + std::to_string(number), "1");
    }
    for (int step = 0; step < 100 && this->observer.values.size() < 10; ++step) {
        this->time.run_for(milliseconds{1});
        this->deliver_positions();
        if (this->observer.values.size() < 10) {
            BOOST_REQUIRE((this->second.fresh_as_of() == before));
        }
    }
    BOOST_TEST(this->second_observer.values.size() == 10U);
    BOOST_TEST((*this->second.fresh_as_of() > *before));
}

BOOST_FIXTURE_TEST_CASE(a_follower_that_receives_nothing_reads_itself, relay_fixture)
{
    this->time.run_for(seconds{3});
    this->deliver_positions();
    this->write("a", "1");
    this->time.run_for(follower_settings{}.relay_timeout + milliseconds{50});
    BOOST_TEST(this->second_observer.values["a"] == "1");
    BOOST_TEST(this->second_observer.confirmations > 1);
}

BOOST_FIXTURE_TEST_CASE(a_position_without_a_time_confirms_nothing, relay_fixture)
{
    this->write("a", "1");
    this->time.run_for(milliseconds{20});
    const auto before = this->second.fresh_as_of();
    for (const auto& position : std::exchange(this->reader_relay.published, {})) {
        this->second.handle_position(position, std::nullopt);
    }
    BOOST_TEST((this->second.fresh_as_of() == before));
}

BOOST_AUTO_TEST_CASE(a_window_repeats_the_changes_of_the_last_reads)
{
    relay_window window;
    window.restart(log_offset{10});
    for (std::uint64_t offset = 10; offset < 20; ++offset) {
        window.add(log_offset{offset + 1}, {{log_offset{offset}, "k", "v"}}, false);
    }
    const auto positions = window.positions("records", milliseconds{5}, true);
    BOOST_REQUIRE(positions.size() == 1U);
    BOOST_TEST(positions[0].from.value() == 17U);
    BOOST_TEST(positions[0].to.value() == 20U);
    BOOST_TEST(positions[0].changes.size() == 3U);
}

BOOST_AUTO_TEST_CASE(many_changes_take_several_positions_without_a_gap)
{
    relay_window window;
    window.restart(log_offset{0});
    std::vector<store_record> changes;
    for (std::uint64_t offset = 0; offset < 30; ++offset) {
        changes.push_back({log_offset{2 * offset}, "key", std::string(150, 'x')});
    }
    window.add(log_offset{60}, changes, false);
    const auto positions = window.positions("records", {}, true);
    BOOST_TEST(positions.size() > 4U);
    log_offset next{0};
    std::size_t count = 0;
    for (const auto& position : positions) {
        BOOST_TEST((position.from == next));
        next = position.to;
        count += position.changes.size();
        std::size_t bytes = 0;
        for (const auto& record : position.changes) {
            bytes += record.key.size() + record.value->size();
        }
        BOOST_TEST(bytes <= max_position_bytes);
    }
    BOOST_TEST(next.value() == 60U);
    BOOST_TEST(count == changes.size());
}

BOOST_AUTO_TEST_CASE(a_record_too_large_for_a_datagram_has_to_be_read)
{
    relay_window window;
    window.restart(log_offset{0});
    window.add(log_offset{3},
               {{log_offset{0}, "a", "1"},
                {log_offset{1}, "b", std::string(2 * max_position_bytes, 'x')},
                {log_offset{2}, "c", "1"}},
               false);
    const auto positions = window.positions("records", {}, true);
    BOOST_REQUIRE(positions.size() == 1U);
    BOOST_TEST(positions[0].from.value() == 2U);
    BOOST_TEST(positions[0].changes.size() == 1U);
}

// A page that could not be read kept a node from every later change of the topic.
BOOST_FIXTURE_TEST_CASE(the_log_is_followed_while_a_page_is_unreadable, follower_fixture)
{
    this->store.page_size = 2;
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        this->write(key, "old");
    }
    this->store.unreadable_after = "b";
    this->follower.start();
    this->time.run_for(seconds{1});
    BOOST_TEST(this->observer.values.size() == 2U);
    this->write("a", "new");
    this->write("c", "newer");
    this->write("b", std::nullopt);
    this->time.run_for(seconds{1});
    const std::map<std::string, std::string> followed{{"a", "new"}, {"c", "newer"}};
    BOOST_TEST((this->observer.values == followed));
    BOOST_TEST(this->observer.confirmations == 0);
    BOOST_TEST(this->follower.is_failing());
    const auto unreadable = this->counters.values["eelgrassbend_unreadable_store_pages_total"];
    BOOST_TEST(unreadable >= 3);
    BOOST_TEST(unreadable <= 8); // the pause grows to 800 ms
    BOOST_TEST(this->log.count("page_unreadable") == static_cast<std::size_t>(unreadable));
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    this->store.is_down = false;
    this->store.unreadable_after.reset();
    this->time.run_for(seconds{2});
    const std::map<std::string, std::string> complete{
        {"a", "new"}, {"c", "newer"}, {"d", "old"}, {"e", "old"}};
    BOOST_TEST((this->observer.values == complete));
    BOOST_TEST(this->observer.confirmations > 0);
    BOOST_TEST(!this->follower.is_failing());
}

// Such a page was taken for the last one, and the keys behind it for removed.
BOOST_FIXTURE_TEST_CASE(a_page_without_a_readable_record_is_not_the_last_one, follower_fixture)
{
    this->write("a", "1");
    this->write("b", "1");
    this->follower.start();
    this->time.run_for(milliseconds{50});
    this->store.is_down = true;
    this->time.run_for(seconds{3});
    this->write("a", "2");
    this->logs.forget_history("records");
    const int confirmations = this->observer.confirmations;
    this->store.page_size = 0;
    this->store.is_down = false;
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values.size() == 2U);
    BOOST_TEST(this->observer.confirmations == confirmations);
    this->store.page_size = 500;
    this->time.run_for(seconds{3});
    BOOST_TEST(this->observer.values["a"] == "2");
    BOOST_TEST(this->observer.confirmations > confirmations);
}

// A page that is sent before a change and arrives after it must not undo the change.
BOOST_FIXTURE_TEST_CASE(a_late_page_does_not_undo_what_the_log_has_shown, follower_fixture)
{
    this->store.page_size = 1;
    this->write("a", "old");
    this->write("b", "old");
    this->store.unreadable_after = "a";
    this->follower.start();
    this->time.run_for(seconds{1});
    this->store.newest_delay = seconds{2};
    this->store.unreadable_after.reset();
    this->time.run_for(seconds{1}); // the store has taken the page, which is under way
    this->write("b", std::nullopt);
    this->time.run_for(seconds{5});
    const std::map<std::string, std::string> expected{{"a", "old"}};
    BOOST_TEST((this->observer.values == expected));
    BOOST_TEST(!this->follower.is_failing());
}

} // namespace eelgrassbend
