#include "eelgrassbend/settings/gateway_settings.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const char* const valid_settings = R"(
name = "front-a-1"
region = "north"
zone = "a"
[listen]
callers = "10.0.0.1:1"
ready = "10.0.0.1:2"
directory = "10.0.0.1:3"
datagrams = "10.0.0.1:4"
metrics = "10.0.0.1:5"
[store]
address = "10.0.0.9:6"
writes_per_second = 1200
[cloud]
address = "10.0.0.8:7"
[bounds]
removed_key_ms = 4000
stop_s = 7.5
retry_ratio = 0.25
)";

BOOST_AUTO_TEST_CASE(valid_gateway_settings_are_parsed)
{
    const auto parsed = parse_gateway_settings(valid_settings, "settings");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().node.value() == "front-a-1");
    BOOST_TEST((parsed.value().store == network_address{"10.0.0.9", 6}));
    BOOST_TEST(parsed.value().store_writes_per_second == 1200.0);
    BOOST_TEST((parsed.value().cloud == network_address{"10.0.0.8", 7}));
    BOOST_TEST((parsed.value().bounds.removed_key == std::chrono::seconds{4}));
    BOOST_TEST((parsed.value().bounds.stop == std::chrono::milliseconds{7500}));
    BOOST_TEST(parsed.value().bounds.retries.ratio == 0.25);
    BOOST_TEST((parsed.value().bounds.lease == std::chrono::seconds{3}));
}

// A deployment without the bounds of roll-outs must not start to handle them.
BOOST_AUTO_TEST_CASE(limits_and_roll_out_bounds_are_optional)
{
    const auto without = parse_gateway_settings(valid_settings, "settings");
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(!without.value().bounds.rollout.has_value());
    const std::string text = std::string{valid_settings} +
                             "[limits]\nmemory_mb = 260\ndescriptors = 4100\n"
                             "[rollout]\ncanary_share = 0.2\nrollback_ms = 4000\n";
    const auto parsed = parse_gateway_settings(text, "settings");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().limits.memory == 260U * 1024 * 1024);
    BOOST_TEST(parsed.value().limits.descriptors == 4100U);
    BOOST_REQUIRE(parsed.value().bounds.rollout.has_value());
    BOOST_TEST(parsed.value().bounds.rollout->canary_share == 0.2);
    BOOST_TEST((parsed.value().bounds.rollout->rollback == std::chrono::seconds{4}));
}

BOOST_AUTO_TEST_CASE(the_cloud_address_is_optional)
{
    std::string text = valid_settings;
    text.replace(text.find("10.0.0.8:7"), 10, "");
    const auto parsed = parse_gateway_settings(text, "settings");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(!parsed.value().cloud.has_value());
}

BOOST_AUTO_TEST_CASE(invalid_gateway_settings_are_reported_with_their_line)
{
    std::string text = valid_settings;
    text.replace(text.find("10.0.0.9:6"), 10, "store.test");
    const auto parsed = parse_gateway_settings(text, "settings");
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().to_string().find("settings:12): invalid argument: 'store.address'") !=
               std::string::npos);
    BOOST_TEST(!parse_gateway_settings(std::string{valid_settings} + "speed = 3\n", "settings")
                    .has_value());
}

} // namespace eelgrassbend
