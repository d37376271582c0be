#include "eelgrassbend/settings/entry_settings.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

static const std::string good = R"(name = "entry-1"
region = "tz-north"
zone = "arusha-a"
[listen]
callers = "127.0.0.1:8080"
calls = "127.0.0.1:8081"
datagrams = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:7000"
[trust]
operator_keys = [{name = "amina", public_key = "0000000000000000000000000000000000000000000000000000000000000000"}]
[peers]
keys = [{id = 1, secret = "0123456789abcdef"}]
[serving]
progress_timeout_ms = 1500
)";

static std::string replace(std::string text, const std::string& from, const std::string& to)
{
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

static std::string error_of(const std::string& text)
{
    const auto parsed = parse_entry_settings(text, "entry.toml");
    BOOST_REQUIRE(!parsed.has_value());
    return parsed.error().to_string();
}

BOOST_AUTO_TEST_CASE(good_settings_are_read)
{
    const auto parsed = parse_entry_settings(good, "entry.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().node.value() == "entry-1");
    BOOST_TEST(parsed.value().callers.port == 8080);
    BOOST_TEST((parsed.value().progress_timeout == std::chrono::milliseconds{1500}));
    BOOST_TEST((parsed.value().stop_limit == std::chrono::seconds{60}));
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_named_with_its_line)
{
    const auto text = replace(good, "progress_timeout_ms", "progress_timeuot_ms");
    const auto message = error_of(text);
    BOOST_TEST(message.find("entry.toml:15") != std::string::npos);
    BOOST_TEST(message.find("'serving.progress_timeuot_ms' is not a known key") !=
               std::string::npos);
    BOOST_TEST(message.find("progress_timeout_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_wrong_type_is_named)
{
    const auto message = error_of(replace(good, "= 1500", "= \"soon\""));
    BOOST_TEST(message.find("'serving.progress_timeout_ms' must be a whole number from 50 to") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_value_out_of_bounds_is_named)
{
    const auto message = error_of(replace(good, "= 1500", "= 5"));
    BOOST_TEST(message.find("from 50 to 600000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_key_is_named)
{
    const auto message = error_of(replace(good, "zone = \"arusha-a\"\n", ""));
    BOOST_TEST(message.find("'zone' must be a text") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bad_addresses_and_keys_are_refused)
{
    BOOST_TEST(
        error_of(replace(good, "127.0.0.1:8080", "localhost:8080")).find("'listen.callers'") !=
        std::string::npos);
    BOOST_TEST(
        error_of(replace(good, "127.0.0.1:8080", "127.0.0.1:99999")).find("'listen.callers'") !=
        std::string::npos);
    BOOST_TEST(
        error_of(replace(good, "0123456789abcdef", "short")).find("'peers.keys[0].secret'") !=
        std::string::npos);
}

BOOST_AUTO_TEST_CASE(broken_toml_is_an_error_with_its_line)
{
    BOOST_TEST(error_of("name = \n").find("entry.toml:1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_error)
{
    BOOST_TEST(!read_entry_settings("no/such/file.toml").has_value());
}

} // namespace eelgrassbend
