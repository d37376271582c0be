#include "eelgrassbend/fleet/fleet_view.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::seconds;

static node_digest digest_of(const std::string& node, std::uint64_t sequence,
                             std::uint64_t incarnation = 1)
{
    node_digest digest;
    digest.node = node_id{node};
    digest.incarnation = incarnation;
    digest.sequence = sequence;
    digest.is_ready = true;
    digest.callers = {"10.0.0." + node, 8080};
    digest.datagrams = {"10.0.0." + node, 7600};
    return digest;
}

BOOST_AUTO_TEST_CASE(old_and_own_digests_are_ignored)
{
    fleet_view fleet{node_id{"1"}};
    const monotonic_time now{seconds{1}};
    BOOST_TEST(!fleet.heard(digest_of("1", 1), now));
    BOOST_TEST(fleet.heard(digest_of("2", 5), now));
    BOOST_TEST(!fleet.heard(digest_of("2", 5), now));
    BOOST_TEST(!fleet.heard(digest_of("2", 4), now));
    BOOST_TEST(fleet.heard(digest_of("2", 1, 2), now));
    BOOST_TEST(!fleet.heard(digest_of("2", 9, 1), now));
}

BOOST_AUTO_TEST_CASE(silent_leaving_and_unready_nodes_are_not_in_the_directory)
{
    fleet_view fleet{node_id{"1"}};
    const monotonic_time now{seconds{1}};
    fleet.heard(digest_of("2", 1), now);
    auto leaving = digest_of("3", 1);
    leaving.is_leaving = true;
    fleet.heard(leaving, now);
    auto unready = digest_of("4", 1);
    unready.is_ready = false;
    fleet.heard(unready, now);
    BOOST_TEST(fleet.ready_callers(now).size() == 1U);
    BOOST_TEST(fleet.ready_callers(now + node_silence).empty());
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_a_part_of_the_others_knows_its_share)
{
    fleet_view fleet{node_id{"1"}};
    const monotonic_time now{seconds{1}};
    BOOST_TEST(fleet.counts(now).heard == 1U);
    BOOST_TEST(fleet.counts(now).serving == 1U);
    fleet.heard(digest_of("2", 1), now);
    fleet.heard(digest_of("3", 1), now);
    fleet.heard(digest_of("4", 1), now);
    fleet.heard(digest_of("4", 2), now + seconds{3});
    BOOST_TEST(fleet.counts(now + seconds{3}).heard == 2U);
    BOOST_TEST(fleet.counts(now + seconds{3}).serving == 4U);
    BOOST_TEST(fleet.counts(now + seconds{30}).heard == 1U);
    BOOST_TEST(fleet.counts(now + seconds{30}).serving == 1U);
}

BOOST_AUTO_TEST_CASE(silent_nodes_are_addressed_by_their_records)
{
    fleet_view fleet{node_id{"1"}};
    const monotonic_time now{seconds{1}};
    fleet.add_record({node_id{"1"}, {"10.0.0.1", 7600}, {}});
    fleet.add_record({node_id{"2"}, {"10.0.0.2", 7600}, {}});
    BOOST_TEST(fleet.receivers(now, false).empty());
    BOOST_TEST(fleet.receivers(now, true).size() == 1U);
    fleet.remove_record(node_id{"2"});
    BOOST_TEST(fleet.receivers(now, true).empty());
}

} // namespace eelgrassbend
