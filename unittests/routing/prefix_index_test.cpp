#include "eelgrassbend/routing/prefix_index.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

namespace eelgrassbend {

static std::vector<std::uint64_t> make_prefix(std::uint64_t first, std::size_t blocks)
{
    std::vector<std::uint64_t> prefix(blocks);
    std::iota(prefix.begin(), prefix.end(), first);
    return prefix;
}

static cache_event make_event(std::uint64_t sequence, cache_event_kind kind,
                              std::vector<std::uint64_t> blocks)
{
    return {sequence, kind, std::move(blocks)};
}

BOOST_AUTO_TEST_CASE(cache_events_determine_the_held_blocks)
{
    prefix_index index;
    const auto prefix = make_prefix(100, 10);
    index.apply(1, make_event(0, cache_event_kind::stored, make_prefix(100, 6)));
    BOOST_TEST(index.held_blocks(1, prefix) == 6U);
    index.apply(1, make_event(1, cache_event_kind::evicted, {104, 105}));
    BOOST_TEST(index.held_blocks(1, prefix) == 4U);
    BOOST_TEST(index.held_blocks(2, prefix) == 0U);
    index.apply(1, make_event(2, cache_event_kind::cleared, {}));
    BOOST_TEST(index.held_blocks(1, prefix) == 0U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_events_lowers_the_confidence)
{
    prefix_index index;
    index.apply(1, make_event(0, cache_event_kind::stored, {1, 2}));
    BOOST_TEST(index.confidence(1) == 1.0);
    index.apply(1, make_event(1, cache_event_kind::stored, {3}));
    BOOST_TEST(index.confidence(1) == 1.0);
    index.apply(1, make_event(5, cache_event_kind::stored, {4}));
    BOOST_TEST(index.confidence(1) < 1.0);
}

BOOST_AUTO_TEST_CASE(duplicate_and_late_events_are_ignored)
{
    prefix_index index;
    index.apply(1, make_event(0, cache_event_kind::stored, {1, 2}));
    index.apply(1, make_event(1, cache_event_kind::evicted, {2}));
    index.apply(1, make_event(0, cache_event_kind::stored, {1, 2}));
    BOOST_TEST(index.held_blocks(1, {1, 2}) == 1U);
}

BOOST_AUTO_TEST_CASE(wrong_predictions_lower_the_confidence_and_right_ones_raise_it)
{
    prefix_index index;
    const auto prefix = make_prefix(1, 8);
    index.add_expected_blocks(1, prefix, 8);
    for (int guess = 0; guess < 10; ++guess) {
        index.update_confidence(1, prefix, 0);
    }
    const auto low = index.confidence(1);
    BOOST_TEST(low < 0.5);
    for (int guess = 0; guess < 50; ++guess) {
        index.update_confidence(1, prefix, 8);
    }
    BOOST_TEST(index.confidence(1) > 0.9);
}

BOOST_AUTO_TEST_CASE(holders_are_sorted_by_held_blocks)
{
    prefix_index index;
    const auto prefix = make_prefix(1, 16);
    index.add_expected_blocks(8, prefix, 16);
    index.add_expected_blocks(7, prefix, 4);
    index.add_expected_blocks(9, make_prefix(500, 16), 16);
    BOOST_TEST((index.find_holders(prefix, 4) == std::vector<endpoint_index>{8, 7}));
}

BOOST_AUTO_TEST_CASE(the_index_is_bounded_and_evicts_the_oldest_blocks_first)
{
    prefix_index index(100);
    for (std::uint64_t first = 0; first < 10'000; first += 10) {
        index.add_expected_blocks(1, make_prefix(first * 100, 10), 10);
        BOOST_TEST(index.size() <= 100U);
    }
    BOOST_TEST(index.held_blocks(1, make_prefix(0, 10)) == 0U);
    BOOST_TEST(index.held_blocks(1, make_prefix(999'000, 10)) == 10U);
}

} // namespace eelgrassbend
