#include "eelgrassbend/bundle/bundle_codec.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const std::string valid_file = R"(version = 3
replaces = 2
required_signatures = 1
[[operators]]
name = "amina"
public_key = "3b6a27bcceb6a42d62a3a8d02a6f0d73653215771de243a63ac048a18b59da29"
[[services]]
id = "draft-llm"
kind = "model"
model = "badge-draft-8b"
routing_policy = "predictive"
first_token_target_ms = 2000
between_tokens_target_ms = 51
request_deadline_ms = 120000
checks_fencing = true
quick_slot_share = 0.25
hedge_budget = 0.05
retry_budget = 0.1
[services.prices]
per_request_micros = 10
per_thousand_prompt_tokens_micros = 300
per_thousand_output_tokens_micros = 1200
[[services.replicas]]
zone = "arusha-a"
type = "accelerator-l4"
least = 2
[[services]]
id = "order-desk"
kind = "plain"
routing_policy = "two_choices"
request_deadline_ms = 5000
repeatable_methods = ["GET", "HEAD"]
[[organisations]]
id = "serengeti-lodges"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
services = ["draft-llm", "order-desk"]
priority = 10
requests_per_second = 40
[[host_prices]]
zone = "arusha-a"
type = "accelerator-l4"
reclaimable = true
per_hour_micros = 260000
)";

/// The error of the valid file with `before` replaced.
static std::string problem_with(const std::string& before, const std::string& after)
{
    auto text = valid_file;
    const auto place = text.find(before);
    BOOST_REQUIRE(place != std::string::npos);
    text.replace(place, before.size(), after);
    const auto outcome = parse_bundle_file(text, "bundle.toml");
    return outcome ? "no error" : outcome.error().peer + " " + outcome.error().detail;
}

BOOST_AUTO_TEST_CASE(a_valid_file_is_read_and_survives_the_codec)
{
    const auto read = parse_bundle_file(valid_file, "bundle.toml");
    BOOST_REQUIRE_MESSAGE(read, (read ? "" : read.error().to_string()));
    const auto& contents = read.value();
    BOOST_TEST(contents.version.value() == 3U);
    BOOST_TEST((contents.services[0].first_token_target == std::chrono::seconds{2}));
    BOOST_TEST(contents.services[0].prices.per_thousand_output_tokens.value() == 1200);
    BOOST_TEST(contents.find_service(service_id{"order-desk"})->repeatable_methods.size() == 2U);
    BOOST_TEST(contents.find_organisation(organisation_id{"nobody"}) == nullptr);
    BOOST_TEST(contents.find_key(std::string(64, '0'))->priority == 10);
    const auto text = encode_bundle(contents);
    const auto again = decode_bundle(text);
    BOOST_REQUIRE(again);
    BOOST_TEST(encode_bundle(again.value()) == text);
}

BOOST_AUTO_TEST_CASE(only_the_canonical_text_is_decoded)
{
    const auto text = encode_bundle(parse_bundle_file(valid_file, "bundle.toml").value());
    BOOST_TEST(!decode_bundle(text + " "));
    BOOST_TEST(!decode_bundle("{}"));
    BOOST_TEST(!decode_bundle(text.substr(0, text.size() - 1)));
    auto doubled = text;
    doubled.insert(1, R"("version":9,)");
    BOOST_TEST(!decode_bundle(doubled));
}

BOOST_AUTO_TEST_CASE(a_problem_names_file_line_key_and_what_is_allowed)
{
    const std::pair<std::string, std::string> unknown{"checks_fencing = true",
                                                      "checks_fence = true"};
    BOOST_TEST(
        problem_with(unknown.first, unknown.second)
            .starts_with("bundle.toml:15 services[0].checks_fence: unknown key; allowed are "));
    BOOST_TEST(problem_with("kind = \"model\"", "kind = \"modl\"") ==
               "bundle.toml:9 services[0].kind: is \"modl\"; allowed are model, plain");
    BOOST_TEST(problem_with("hedge_budget = 0.05", "hedge_budget = 1.5") ==
               "bundle.toml:17 services[0].hedge_budget: must be a number from 0 to 1");
    BOOST_TEST(problem_with("least = 2", "least = \"2\"") ==
               "bundle.toml:26 services[0].replicas[0].least: must be a whole number from 0 to "
               "10000");
    BOOST_TEST(problem_with("\"order-desk\"]", "\"order-dsk\"]") ==
               "bundle.toml:36 organisations[0].services: has unknown service \"order-dsk\"; "
               "allowed are draft-llm, order-desk");
    BOOST_TEST(problem_with("id = \"order-desk\"", "id = \"draft-llm\"") ==
               "bundle.toml:28 services[1].id: is used twice; it must be unique");
    BOOST_TEST(problem_with("request_deadline_ms = 5000\n", "") ==
               "bundle.toml:27 services[1].request_deadline_ms: is missing");
    BOOST_TEST(problem_with("replaces = 2", "replaces = 3") ==
               "bundle.toml:2 replaces: must be less than version, 3");
    BOOST_TEST(problem_with("required_signatures = 1", "required_signatures = 2") ==
               "bundle.toml:3 required_signatures: must be at most the number of operators, 1");
    BOOST_TEST(problem_with("version = 3", "version = ").starts_with("bundle.toml:1 "));
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_an_error)
{
    BOOST_TEST((read_bundle_file("/nonexistent/bundle.toml").error().code == errc::not_found));
}

} // namespace eelgrassbend
