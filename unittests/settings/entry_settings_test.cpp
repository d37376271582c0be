#include "eelgrassbend/settings/entry_settings.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

static const std::string valid_settings = R"(name = "entry-1"
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

static std::string replace_once(std::string text, const std::string& from, const std::string& to)
{
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

static std::string error_text_of(const std::string& text)
{
    const auto parsed = parse_entry_settings(text, "entry.toml");
    BOOST_REQUIRE(!parsed.has_value());
    return parsed.error().to_string();
}

BOOST_AUTO_TEST_CASE(valid_entry_settings_are_parsed)
{
    const auto parsed = parse_entry_settings(valid_settings, "entry.toml");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().node.value() == "entry-1");
    BOOST_TEST(parsed.value().callers.port == 8080);
    BOOST_TEST((parsed.value().progress_timeout == std::chrono::milliseconds{1500}));
    BOOST_TEST((parsed.value().stop_limit == std::chrono::seconds{60}));
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_reported_with_its_line)
{
    const auto text = replace_once(valid_settings, "progress_timeout_ms", "progress_timeuot_ms");
    const auto message = error_text_of(text);
    BOOST_TEST(message.find("entry.toml:15") != std::string::npos);
    BOOST_TEST(message.find("'serving.progress_timeuot_ms' is not a known key") !=
               std::string::npos);
    BOOST_TEST(message.find("progress_timeout_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_wrong_type_is_reported)
{
    const auto message = error_text_of(replace_once(valid_settings, "= 1500", "= \"soon\""));
    BOOST_TEST(message.find("'serving.progress_timeout_ms' must be an integer from 50 to") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_out_of_range_value_is_reported)
{
    const auto message = error_text_of(replace_once(valid_settings, "= 1500", "= 5"));
    BOOST_TEST(message.find("from 50 to 600000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_key_is_reported)
{
    const auto message = error_text_of(replace_once(valid_settings, "zone = \"arusha-a\"\n", ""));
    BOOST_TEST(message.find("'zone' must be a string") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_addresses_and_secrets_are_rejected)
{
    BOOST_TEST(error_text_of(replace_once(valid_settings, "127.0.0.1:8080", "localhost:8080"))
                   .find("'listen.callers'") != std::string::npos);
    BOOST_TEST(error_text_of(replace_once(valid_settings, "127.0.0.1:8080", "127.0.0.1:99999"))
                   .find("'listen.callers'") != std::string::npos);
    BOOST_TEST(error_text_of(replace_once(valid_settings, "0123456789abcdef", "short"))
                   .find("'peers.keys[0].secret'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_syntax_error_is_reported_with_its_line)
{
    BOOST_TEST(error_text_of("name = \n").find("entry.toml:1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_error)
{
    BOOST_TEST(!read_entry_settings("no/such/file.toml").has_value());
}

} // namespace eelgrassbend
