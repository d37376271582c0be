#include "platform/configuration_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/store_client.h"

#include "platform_fakes.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace eelgrassbend {

static const store_topic keyed{"servers", true};
static const store_topic plain{"work", false};

static std::string offsets(char end, char first)
{
    return std::string(7, '\0') + end + std::string(7, '\0') + first;
}

BOOST_AUTO_TEST_CASE(records_are_encoded_with_length_prefixes)
{
    BOOST_TEST(encode_records(plain, {{{}, {}, "ab"}, {{}, {}, "c"}}) ==
               std::string("\0\0\0\2ab\0\0\0\1c", 11));
    BOOST_TEST(encode_records(keyed, {{{}, "k", "v"}}) == std::string("\0\0\0\3\1kv", 7));
    BOOST_TEST(encode_records(keyed, {{{}, "k", std::nullopt}}) == std::string("\0\0\0\2\1k", 6));
}

BOOST_AUTO_TEST_CASE(a_page_of_records_is_decoded)
{
    const auto page = decode_page(plain, log_offset{840},
                                  offsets(12, 3) + std::string("\0\0\0\2ab\0\0\0\1c", 11));
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST((page.value().end == log_offset{12}));
    BOOST_TEST((page.value().first_retained == log_offset{3}));
    BOOST_TEST((page.value().next == log_offset{842}));
    BOOST_REQUIRE(page.value().records.size() == 2U);
    BOOST_TEST((page.value().records[1].offset == log_offset{841}));
    BOOST_TEST(*page.value().records[1].value == "c");
}

BOOST_AUTO_TEST_CASE(keys_and_deletions_are_decoded)
{
    const auto page = decode_page(
        keyed, log_offset{0}, offsets(3, 0) + std::string("\0\0\0\3\1kv\0\0\0\2\1k\0\0\0\1\7", 18));
    BOOST_REQUIRE(page.has_value());
    // The third record's key length exceeds the record: it is skipped but occupies an offset.
    BOOST_REQUIRE(page.value().records.size() == 2U);
    BOOST_TEST(*page.value().records[0].value == "v");
    BOOST_TEST(!page.value().records[1].value.has_value());
    BOOST_TEST((page.value().next == log_offset{3}));
}

BOOST_AUTO_TEST_CASE(truncated_pages_are_errors)
{
    const auto complete = offsets(12, 3) + std::string("\0\0\0\2ab\0\0\0\1c", 11);
    for (std::size_t length = 0; length < complete.size(); ++length) {
        const auto page =
            decode_page(plain, log_offset{0}, std::string_view{complete}.substr(0, length));
        const bool is_between_records = length == 16 || length == 22;
        BOOST_TEST(page.has_value() == is_between_records);
    }
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded_from_base64)
{
    const auto page = decode_newest(
        R"({"items":[{"key":"config","value":"aGVsbG8=","offset":4}],"more":true,"endOffset":6})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().has_more);
    BOOST_TEST((page.value().end == log_offset{6}));
    BOOST_TEST(*page.value().records[0].value == "hello");
    BOOST_TEST(!decode_newest("[]").has_value());
    const auto odd =
        decode_newest(R"({"items":[{"key":"a","value":"%%%%","offset":1}],"endOffset":2})");
    BOOST_TEST(odd.value().records[0].value.value().empty());
}

// One value that cannot be decoded made the whole page unreadable, or ended the process.
BOOST_AUTO_TEST_CASE(a_page_with_unreadable_values_is_decoded)
{
    for (const char* value : {"\"====\"", "\"YQ=\"", "\"!!!!\"", "7", "null"}) {
        const auto page = decode_newest(R"({"endOffset":9,"more":true,"items":[)"
                                        R"({"key":"k-1","offset":4,"value":)" +
                                        std::string{value} +
                                        R"(},{"offset":5,"value":"YQ=="},)"
                                        R"({"key":"k-2","offset":6,"value":"YQ=="}]})");
        BOOST_REQUIRE(page.has_value());
        BOOST_REQUIRE(page.value().records.size() == 2U);
        BOOST_TEST(page.value().records[0].key == "k-1");
        BOOST_TEST(page.value().records[1].key == "k-2");
        BOOST_TEST(page.value().records[1].value.value() == "a");
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded)
{
    const auto read = decode_configuration(sample_configuration);
    BOOST_REQUIRE(read.has_value());
    const auto& decoded = read.value();
    BOOST_TEST((decoded.version == configuration_version{7}));
    BOOST_REQUIRE(decoded.routes.size() == 2U);
    BOOST_TEST((decoded.routes[0].kind == request_kind::stream));
    BOOST_TEST(decoded.routes[0].split.size() == 2U);
    BOOST_TEST(!decoded.routes[0].is_repeatable());
    BOOST_TEST(decoded.routes[1].is_repeatable());
    BOOST_TEST((decoded.routes[1].objective == std::chrono::milliseconds{500}));
    BOOST_REQUIRE(decoded.services.size() == 2U);
    BOOST_TEST((decoded.services[0].engine->memory == token_count{563'819}));
    BOOST_TEST(decoded.services[0].scaling->max_per_zone == 6);
    BOOST_TEST(!decoded.services[1].engine.has_value());
    BOOST_TEST(decoded.services[1].health_path == "/healthz");
    BOOST_REQUIRE(decoded.organisations.size() == 1U);
    BOOST_TEST(decoded.organisations[0].counts_tokens);
    BOOST_TEST(decoded.organisations[0].keys.size() == 2U);
    BOOST_TEST(decoded.limits.header_bytes == 16'384U);
}

BOOST_AUTO_TEST_CASE(incomplete_configurations_are_rejected)
{
    for (const char* bytes :
         {"", "[]", "{}", R"({"version":"x"})", R"({"version":1,"routes":[{"host":"a"}]})",
          R"({"version":1,"routes":[{"host":"a","pathPrefix":"/","kind":"other","service":"s"}]})",
          R"({"version":1,"services":[{}]})", R"({"version":1,"tenants":[{"apiKeys":[]}]})"}) {
        BOOST_TEST(!decode_configuration(bytes).has_value());
    }
}

BOOST_AUTO_TEST_CASE(an_endpoint_is_decoded)
{
    const auto read = decode_endpoint(
        "i-7",
        R"({"service":"draft","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":64,)"
        R"("state":"draining","coldLeftMs":20,"spot":true,"leaves_ms":2500,"born":17,"seq":4})");
    BOOST_REQUIRE(read.has_value());
    const auto& decoded = read.value();
    BOOST_TEST(decoded.id.value() == "i-7");
    BOOST_TEST((decoded.address == network_address{"10.128.0.9", 8080}));
    BOOST_TEST(decoded.is_draining);
    BOOST_TEST(decoded.is_reclaimable);
    BOOST_TEST((decoded.reclaim_in == std::chrono::milliseconds{2500}));
    BOOST_TEST(decoded.started == 17);
    BOOST_TEST((decoded.sequence == record_sequence{4}));
}

static std::string endpoint_with(const std::string& field, const std::string& value)
{
    auto entry = nlohmann::json{{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "a"},
                                {"slots", 1},     {"state", "ready"},         {"seq", 1}};
    entry[field] = "@";
    auto bytes = entry.dump();
    return bytes.replace(bytes.find("\"@\""), 3, value);
}

// Numbers out of the range of their type were converted, and addresses that are no IP were kept.
BOOST_AUTO_TEST_CASE(endpoint_records_with_values_out_of_range_are_rejected)
{
    const std::string huge = "1e300";
    const std::string overflow = "1" + std::string(400, '0');
    for (const auto& [field, values] : std::map<std::string, std::vector<std::string>>{
             {"slots", {huge, overflow, "-1", "1.5", "4294967296", "null"}},
             {"born", {huge, overflow, "-1", "1.5", "\"1\""}},
             {"coldLeftMs", {huge, overflow, "\"1\"", "[1]"}},
             {"leaves_ms", {huge, overflow, "-1e300", "{}"}},
             {"seq", {overflow}},
             {"address",
              {"\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:\"",
               "\"10.0.0.256:80\"", "\"10.0.0:80\"", "\"host:80\"", "\":80\"", "\"::1:80\"",
               "\"10.0.0.1:80\\r\\nX: y\""}}}) {
        for (const auto& value : values) {
            BOOST_TEST(!decode_endpoint("i-1", endpoint_with(field, value)).has_value(),
                       field + " " + value.substr(0, 20));
        }
    }
    for (const auto& [field, value] :
         std::vector<std::pair<std::string, std::string>>{{"leaves_ms", "-20.5"},
                                                          {"leaves_ms", "null"},
                                                          {"coldLeftMs", "12.5"},
                                                          {"born", "1786429820040"},
                                                          {"born", "1786429820040.0"},
                                                          {"slots", "64.0"}}) {
        BOOST_TEST(decode_endpoint("i-1", endpoint_with(field, value)).has_value(), field);
    }
}

BOOST_AUTO_TEST_CASE(endpoint_ids_that_fit_no_header_are_rejected)
{
    const auto bytes = endpoint_with("slots", "1");
    for (const char* key : {"", "dump 4", "i\r\nX: y", "i\t1", "\xff\xfe", "\xc3\xa9"}) {
        BOOST_TEST(!decode_endpoint(key, bytes).has_value());
    }
    BOOST_TEST(decode_endpoint("i-7f3a91c2", bytes).has_value());
}

BOOST_AUTO_TEST_CASE(deeply_nested_endpoint_records_are_handled)
{
    constexpr std::size_t depth = 500'000;
    for (const auto& [open, close] : {std::pair{"[", "]"}, std::pair{R"({"a":)", "}"}}) {
        std::string nested;
        for (std::size_t level = 0; level < depth; ++level) {
            nested += open;
        }
        BOOST_TEST(!decode_endpoint("i-1", nested).has_value());
        nested += "1";
        for (std::size_t level = 0; level < depth; ++level) {
            nested += close;
        }
        BOOST_TEST(!decode_endpoint("i-1", endpoint_with("slots", nested)).has_value());
        BOOST_TEST(decode_endpoint("i-1", endpoint_with("seq", nested)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(malformed_endpoint_records_are_rejected)
{
    for (const char* bytes :
         {"\xff\xfe", "7", "{}",
          R"({"service":7,"address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1","zone":"a","slots":1,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:99999","zone":"a","slots":1,"state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"sleeping"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":"1","state":"ready"})"}) {
        BOOST_TEST(!decode_endpoint("i-1", bytes).has_value());
    }
}

} // namespace eelgrassbend
