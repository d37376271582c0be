#include "eelgrassbend/routing/router.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using words = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(a_text_splits_into_words_and_single_marks)
{
    const words expected{"user", ":", "Reprint", "badge", "42", "-", "b", "!", "!"};
    const auto tokens = split_tokens("user: Reprint\tbadge 42-b!!\n");
    BOOST_TEST(tokens == expected, boost::test_tools::per_element());
    BOOST_TEST(split_tokens(" \n\t").empty());
    BOOST_TEST(split_tokens("caf\xc3\xa9").size() == 1U);
}

BOOST_AUTO_TEST_CASE(blocks_cover_whole_runs_of_sixteen_tokens)
{
    words tokens(47, "badge");
    BOOST_TEST(prefix_blocks(tokens).size() == 2U);
    tokens.emplace_back("badge");
    BOOST_TEST(prefix_blocks(tokens).size() == 3U);
    BOOST_TEST(prefix_blocks({}).empty());
}

BOOST_AUTO_TEST_CASE(a_block_hash_covers_all_tokens_before_it)
{
    words tokens(48, "badge");
    const auto original = prefix_blocks(tokens);
    BOOST_TEST(original.at(0) != original.at(1));
    tokens.at(20) = "cup";
    const auto changed = prefix_blocks(tokens);
    BOOST_TEST(changed.at(0) == original.at(0));
    BOOST_TEST(changed.at(1) != original.at(1));
    BOOST_TEST(changed.at(2) != original.at(2));
}

BOOST_AUTO_TEST_CASE(a_block_hash_depends_on_the_borders_of_tokens)
{
    words left(16, "x");
    words right(16, "x");
    left.at(3) = "a";
    left.at(4) = "bc";
    right.at(3) = "ab";
    right.at(4) = "c";
    BOOST_TEST(prefix_blocks(left).at(0) != prefix_blocks(right).at(0));
}

} // namespace eelgrassbend
