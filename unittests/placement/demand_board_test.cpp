#include "eelgrassbend/placement/demand_board.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const service_id draft{"draft"};

BOOST_AUTO_TEST_CASE(a_prompt_that_is_kept_takes_less)
{
    demand_board read;
    read.asked(draft, 10'000, 10'000, 100);
    demand_board kept;
    kept.asked(draft, 10'000, 1'000, 100);
    BOOST_TEST(read.total(draft) > 0.2);
    BOOST_TEST(kept.total(draft) < 0.05);
}

BOOST_AUTO_TEST_CASE(requests_without_room_count_like_the_others)
{
    demand_board board;
    for (int index = 0; index < 500; ++index) {
        board.asked(draft, 10'000, 5'000, 0);
    }
    const double before = board.total(draft);
    board.asked(draft, 10'000, std::nullopt, 0);
    const double refused = board.total(draft) - before;
    BOOST_TEST(refused > 0.1);
    BOOST_TEST(refused < 0.13);
}

BOOST_AUTO_TEST_CASE(totals_of_other_nodes_and_groups_are_added_up)
{
    demand_board board;
    board.heard(node_id{"2"}, 1, {{draft, 5.0}});
    board.heard(node_id{"2"}, 1, {{draft, 7.0}});
    board.heard(node_id{"2"}, 2, {{draft, 1.0}});
    BOOST_TEST(board.total(draft) == 8.0);
    BOOST_TEST(board.group_totals().at(draft) == 8.0);
    board.heard_elsewhere({{draft, 100.0}});
    board.heard_elsewhere({{draft, 103.0}});
    BOOST_TEST(board.total(draft) == 11.0);
    // Another node speaks for a group, and knows less of what was before.
    board.heard_elsewhere({{draft, 20.0}});
    board.heard_elsewhere({{draft, 22.0}});
    BOOST_TEST(board.total(draft) == 13.0);
    BOOST_TEST(board.group_totals().at(draft) == 8.0);
}

} // namespace eelgrassbend
