#include "eelgrassbend/bundle/bundle_codec.h"
#include "eelgrassbend/support/hash.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace eelgrassbend {

namespace {

/// One ready deployment with the sizes that the operators gave.
struct ready_deployment {
    std::string name;
    std::map<std::string, std::int64_t> endpoints; ///< by service

    friend std::ostream& operator<<(std::ostream& out, const ready_deployment& shown)
    {
        return out << shown.name;
    }
};

} // namespace

static const std::vector<ready_deployment> deployments{
    {"kilimanjaro", {{"draft-llm", 10}, {"order-desk", 4}}},
    {"magnolia", {{"estimator-llm", 12}, {"shopfloor-app", 4}}}};

static std::string path_of(const std::string& deployment, const std::string& file)
{
    return std::string{EELGRASSBEND_SOURCE_DIR} + "/deployments/" + deployment + "/" + file;
}

static bundle read_bundle(const std::string& deployment)
{
    const auto parsed = read_bundle_file(path_of(deployment, "bundle.toml"));
    const auto problem = parsed.has_value() ? std::string{} : parsed.error().to_string();
    BOOST_REQUIRE_EQUAL(problem, "");
    return parsed.value();
}

static std::string text(const toml::table& table, const char* key)
{
    return table[key].value<std::string>().value();
}

BOOST_DATA_TEST_CASE(the_demonstration_keys_belong_to_the_organisations,
                     boost::unit_test::data::make(deployments), deployment)
{
    const bundle contents = read_bundle(deployment.name);
    const toml::table keys = toml::parse_file(path_of(deployment.name, "keys.toml"));
    std::set<std::string> seen;
    for (const auto& node : *keys["keys"].as_array()) {
        const auto& entry = *node.as_table();
        const auto* found = contents.find_key(sha256_hex(text(entry, "key")));
        BOOST_REQUIRE(found != nullptr);
        BOOST_TEST(found->id.value() == text(entry, "organisation"));
        seen.insert(found->id.value());
    }
    BOOST_TEST(seen.size() == 5U);
    BOOST_TEST(contents.organisations.size() == 5U);
}

BOOST_DATA_TEST_CASE(the_endpoints_are_those_that_the_bundle_wants,
                     boost::unit_test::data::make(deployments), deployment)
{
    const bundle contents = read_bundle(deployment.name);
    const toml::table layout = toml::parse_file(path_of(deployment.name, "deployment.toml"));
    std::map<std::string, std::int64_t> counts;
    std::map<std::string, std::int64_t> wanted;
    for (const auto& node : *layout["endpoints"].as_array()) {
        const auto& entry = *node.as_table();
        if (!entry["spare"].value_or(false)) {
            counts[text(entry, "service")] += entry["count"].value<std::int64_t>().value();
        }
        const auto has_price = [&](const host_price& price) {
            return price.zone.value() == text(entry, "zone") &&
                   price.type.value() == text(entry, "type") && price.reclaimable;
        };
        BOOST_TEST(
            std::any_of(contents.host_prices.begin(), contents.host_prices.end(), has_price));
    }
    for (const auto& service : contents.services) {
        for (const auto& goal : service.replicas) {
            wanted[service.id.value()] += goal.least;
        }
    }
    BOOST_TEST((counts == deployment.endpoints));
    BOOST_TEST((wanted == deployment.endpoints));
}

BOOST_DATA_TEST_CASE(the_services_run_what_the_bundle_says,
                     boost::unit_test::data::make(deployments), deployment)
{
    const bundle contents = read_bundle(deployment.name);
    const toml::table layout = toml::parse_file(path_of(deployment.name, "deployment.toml"));
    for (const auto& node : *layout["services"].as_array()) {
        const auto& entry = *node.as_table();
        const auto* service = contents.find_service(service_id{text(entry, "id")});
        BOOST_REQUIRE(service != nullptr);
        BOOST_TEST((service->kind == service_kind::model) == (text(entry, "mode") == "model"));
        BOOST_TEST(service->model.value() == entry["model"].value_or(std::string{}));
        BOOST_TEST(service->checks_fencing == entry["checks_fencing"].value_or(false));
    }
}

} // namespace eelgrassbend
