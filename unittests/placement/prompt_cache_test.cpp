#include "eelgrassbend/placement/prompt_cache.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::seconds;

static const endpoint_id engine{"engine"};

BOOST_AUTO_TEST_CASE(names_parts_in_hexadecimal)
{
    BOOST_TEST(part_name(0) == "0");
    BOOST_TEST(part_name(0xfa44b4d2a9bcc137) == "fa44b4d2a9bcc137");
}

BOOST_AUTO_TEST_CASE(only_leading_parts_count)
{
    prompt_cache cache{10'000};
    const monotonic_time now{seconds{1}};
    cache.record_use(engine, {{1, 100}, {2, 200}, {3, 300}}, now);
    BOOST_TEST(cache.cached_tokens(engine, {{1, 100}, {2, 200}, {9, 50}}, now) == 300);
    BOOST_TEST(cache.cached_tokens(engine, {{9, 50}, {2, 200}}, now) == 0);
    BOOST_TEST(cache.cached_tokens(endpoint_id{"other"}, {{1, 100}}, now) == 0);
}

BOOST_AUTO_TEST_CASE(least_recently_used_parts_are_evicted)
{
    prompt_cache cache{1000};
    for (int index = 0; index < 20; ++index) {
        cache.record_use(engine, {{static_cast<std::uint64_t>(index), 100}},
                         monotonic_time{seconds{index}});
    }
    const monotonic_time now{seconds{20}};
    BOOST_TEST(cache.cached_tokens(engine, {{19, 100}}, now) == 100);
    BOOST_TEST(cache.cached_tokens(engine, {{0, 100}}, now) == 0);
}

BOOST_AUTO_TEST_CASE(parts_expire_and_are_forgotten_with_their_engine)
{
    prompt_cache cache{1000};
    cache.record_use(engine, {{1, 100}}, monotonic_time{seconds{1}});
    BOOST_TEST(cache.cached_tokens(engine, {{1, 100}}, monotonic_time{seconds{200}}) == 0);
    cache.forget(engine);
    BOOST_TEST(cache.cached_tokens(engine, {{1, 100}}, monotonic_time{seconds{1}}) == 0);
}

} // namespace eelgrassbend
