#include "eelgrassbend/settings/gateway_settings.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const char* const whole = R"(
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
[cloud]
address = "10.0.0.8:7"
[bounds]
removed_key_ms = 4000
stop_s = 7.5
retry_ratio = 0.25
)";

BOOST_AUTO_TEST_CASE(gateway_settings_are_read)
{
    const auto read = parse_gateway_settings(whole, "settings");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().node.value() == "front-a-1");
    BOOST_TEST((read.value().store == network_address{"10.0.0.9", 6}));
    BOOST_TEST((read.value().cloud == network_address{"10.0.0.8", 7}));
    BOOST_TEST((read.value().bounds.removed_key == std::chrono::seconds{4}));
    BOOST_TEST((read.value().bounds.stop == std::chrono::milliseconds{7500}));
    BOOST_TEST(read.value().bounds.retries.ratio == 0.25);
    BOOST_TEST((read.value().bounds.lease == std::chrono::seconds{3}));
}

BOOST_AUTO_TEST_CASE(a_platform_without_a_cloud_has_no_duties)
{
    std::string text = whole;
    text.replace(text.find("10.0.0.8:7"), 10, "");
    const auto read = parse_gateway_settings(text, "settings");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read.value().cloud.has_value());
}

BOOST_AUTO_TEST_CASE(wrong_gateway_settings_name_the_line)
{
    std::string text = whole;
    text.replace(text.find("10.0.0.9:6"), 10, "store.test");
    const auto read = parse_gateway_settings(text, "settings");
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().to_string().find("settings:12): invalid argument: 'store.address'") !=
               std::string::npos);
    BOOST_TEST(!parse_gateway_settings(std::string{whole} + "speed = 3\n", "settings").has_value());
}

} // namespace eelgrassbend
