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
