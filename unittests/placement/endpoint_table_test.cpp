#include "eelgrassbend/placement/endpoint_table.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds missing_grace{1200};

static endpoint_record record_of(const std::string& id, bool is_draining = false)
{
    endpoint_record record;
    record.id = endpoint_id{id};
    record.service = service_id{"draft"};
    record.address = {"10.0.0.1", 80};
    record.slots = 4;
    record.is_draining = is_draining;
    return record;
}

static std::size_t usable(const endpoint_table& table, monotonic_time now)
{
    return table.usable(service_id{"draft"}, now).size();
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_is_not_usable)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(record_of("a"), now);
    table.put(record_of("b"), now);
    table.put(record_of("b", true), now);
    BOOST_TEST(usable(table, now) == 1U);
    BOOST_TEST((table.find(endpoint_id{"b"}) != nullptr));
}

BOOST_AUTO_TEST_CASE(removal_takes_effect_at_once_without_a_store_outage)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(record_of("a"), now);
    table.remove(endpoint_id{"a"}, now, false);
    BOOST_TEST(usable(table, now) == 0U);
}

BOOST_AUTO_TEST_CASE(a_record_lost_in_a_store_outage_can_be_restored)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(record_of("a"), now);
    table.remove(endpoint_id{"a"}, now, true);
    BOOST_TEST(usable(table, now + milliseconds{1000}) == 1U);
    BOOST_TEST(usable(table, now + missing_grace) == 0U);
    table.put(record_of("a"), now + milliseconds{1500});
    table.expire(now + seconds{5});
    BOOST_TEST(usable(table, now + seconds{5}) == 1U);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_is_removed_at_once_in_a_store_outage)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(record_of("a", true), now);
    table.remove(endpoint_id{"a"}, now, true);
    BOOST_TEST((table.find(endpoint_id{"a"}) == nullptr));
}

static endpoint_record numbered_record(std::int64_t started, std::uint64_t sequence,
                                       bool is_draining = false)
{
    auto record = record_of("a", is_draining);
    record.started = started;
    record.sequence = record_sequence{sequence};
    return record;
}

// A write whose answer was lost may be executed seconds later. It made a leaving endpoint usable.
BOOST_AUTO_TEST_CASE(an_older_record_written_late_does_not_end_draining)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    BOOST_TEST(table.put(numbered_record(17, 1), now));
    BOOST_TEST(table.put(numbered_record(17, 5, true), now));
    BOOST_TEST(!table.put(numbered_record(17, 4), now));
    BOOST_TEST(usable(table, now) == 0U);
    BOOST_TEST(table.put(numbered_record(17, 6), now));
    BOOST_TEST(usable(table, now) == 1U);
}

// A late write after the removal brought back an endpoint that had left.
BOOST_AUTO_TEST_CASE(an_older_record_written_after_the_removal_is_ignored)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(numbered_record(17, 5, true), now);
    table.remove(endpoint_id{"a"}, now, false);
    BOOST_TEST(!table.put(numbered_record(17, 4), now + seconds{6}));
    BOOST_TEST((table.find(endpoint_id{"a"}) == nullptr));
    BOOST_TEST(table.put(numbered_record(17, 6), now + seconds{6}));
    BOOST_TEST(usable(table, now + seconds{6}) == 1U);
}

// A late record of the earlier incarnation ended the draining of the later one.
BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_incarnation_written_late_is_ignored)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(numbered_record(17, 90), now);
    BOOST_TEST(table.put(numbered_record(18, 1), now));
    table.mark_draining_from_answer(endpoint_id{"a"}, now);
    BOOST_TEST(!table.put(numbered_record(17, 91), now));
    BOOST_TEST(table.put(numbered_record(18, 2), now));
    BOOST_TEST(usable(table, now) == 0U);
}

// Without a start or a number, a lower number must not exclude a new incarnation.
BOOST_AUTO_TEST_CASE(records_without_a_start_or_a_number_are_used_as_they_come)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(numbered_record(0, 5, true), now);
    BOOST_TEST(table.put(numbered_record(0, 1), now));
    BOOST_TEST(usable(table, now) == 1U);
    auto unnumbered = record_of("a", true);
    unnumbered.started = 17;
    table.put(numbered_record(17, 5), now);
    BOOST_TEST(table.put(unnumbered, now));
    BOOST_TEST(usable(table, now) == 0U);
}

// An endpoint that expired in an outage of the store returns with an older record if the store
// lists it again, and stays missing until it writes itself.
BOOST_AUTO_TEST_CASE(an_older_record_does_not_restore_a_missing_endpoint)
{
    endpoint_table table{missing_grace};
    const monotonic_time now{seconds{10}};
    table.put(numbered_record(17, 5), now);
    table.remove(endpoint_id{"a"}, now, true);
    BOOST_TEST(!table.put(numbered_record(17, 4), now + milliseconds{500}));
    BOOST_TEST(usable(table, now + missing_grace) == 0U);
    BOOST_TEST(table.put(numbered_record(17, 6), now + missing_grace));
    BOOST_TEST(usable(table, now + missing_grace) == 1U);
}

/// A table whose endpoints have to be checked.
struct checked_table {
    checked_table()
    {
        this->table.on_unchecked(
            [this](const endpoint_record& record) { this->requested.push_back(record.id); });
    }

    endpoint_table table{missing_grace};
    std::vector<endpoint_id> requested;
    monotonic_time now{seconds{10}};
};

// The last record of an endpoint that had left was written late, and it got requests again.
BOOST_FIXTURE_TEST_CASE(a_record_that_returns_after_its_removal_needs_a_check, checked_table)
{
    this->table.put(numbered_record(17, 1), this->now);
    BOOST_TEST(usable(this->table, this->now) == 0U);
    BOOST_TEST(this->table.awaits_check(service_id{"draft"}));
    this->table.mark_checked({endpoint_id{"a"}, 17});
    BOOST_TEST(usable(this->table, this->now) == 1U);
    this->table.put(numbered_record(17, 2), this->now);
    BOOST_TEST(this->requested.size() == 1U);
    this->table.remove(endpoint_id{"a"}, this->now, false);
    this->table.put(numbered_record(17, 3), this->now);
    BOOST_TEST(usable(this->table, this->now) == 0U);
    BOOST_TEST(this->requested.size() == 2U);
}

// The result of a check of the former incarnation says nothing about the next one.
BOOST_FIXTURE_TEST_CASE(each_incarnation_needs_a_check_of_its_own, checked_table)
{
    this->table.put(numbered_record(17, 1), this->now);
    this->table.put(numbered_record(18, 1), this->now);
    this->table.mark_checked({endpoint_id{"a"}, 17});
    BOOST_TEST(usable(this->table, this->now) == 0U);
    this->table.mark_checked({endpoint_id{"a"}, 18});
    BOOST_TEST(usable(this->table, this->now) == 1U);
}

// Records expire in outages of the store; all endpoints would otherwise be unusable for a moment
// when they return.
BOOST_FIXTURE_TEST_CASE(an_endpoint_missing_in_an_outage_stays_usable_for_the_grace, checked_table)
{
    this->table.put(numbered_record(17, 1), this->now);
    this->table.mark_checked({endpoint_id{"a"}, 17});
    this->table.remove(endpoint_id{"a"}, this->now, true);
    this->table.put(numbered_record(17, 2), this->now + milliseconds{500});
    BOOST_TEST(this->requested.size() == 2U);
    BOOST_TEST(usable(this->table, this->now + milliseconds{1100}) == 1U);
    BOOST_TEST(usable(this->table, this->now + missing_grace) == 0U);
    this->table.mark_checked({endpoint_id{"a"}, 17});
    BOOST_TEST(usable(this->table, this->now + seconds{60}) == 1U);
}

// The notice that an endpoint leaves may be among the records that were missed.
BOOST_FIXTURE_TEST_CASE(all_endpoints_are_checked_again_after_missed_records, checked_table)
{
    this->table.put(numbered_record(17, 1), this->now);
    this->table.mark_checked({endpoint_id{"a"}, 17});
    this->table.check_all(this->now);
    this->table.put(numbered_record(17, 2), this->now);
    BOOST_TEST(this->requested.size() == 2U);
    BOOST_TEST(usable(this->table, this->now + milliseconds{1100}) == 1U);
    BOOST_TEST(usable(this->table, this->now + missing_grace) == 0U);
}

BOOST_AUTO_TEST_CASE(each_change_of_state_or_incarnation_is_reported_once)
{
    endpoint_table table{missing_grace};
    int changes = 0;
    int gone = 0;
    table.on_change([&](const endpoint_record&, bool is_gone) { ++(is_gone ? gone : changes); });
    const monotonic_time now{seconds{10}};
    auto record = record_of("a");
    table.put(record, now);
    table.put(record, now);
    record.started = 17;
    table.put(record, now);
    record.is_draining = true;
    table.put(record, now);
    table.remove(record.id, now, false);
    BOOST_TEST(changes == 3);
    BOOST_TEST(gone == 1);
}

} // namespace eelgrassbend
