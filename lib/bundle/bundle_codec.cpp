#include "eelgrassbend/bundle/bundle_codec.h"

#include "bundle_reader.h"

#include <fstream>
#include <sstream>

namespace eelgrassbend {

static nlohmann::json encode_prices(const tariff& prices)
{
    return {
        {"per_request_micros", prices.per_request.value()},
        {"per_thousand_prompt_tokens_micros", prices.per_thousand_prompt_tokens.value()},
        {"per_thousand_output_tokens_micros", prices.per_thousand_output_tokens.value()},
    };
}

static nlohmann::json encode_service(const service_spec& service)
{
    auto replicas = nlohmann::json::array();
    for (const auto& goal : service.replicas) {
        replicas.push_back(
            {{"zone", goal.zone.value()}, {"type", goal.type.value()}, {"least", goal.least}});
    }
    return {
        {"id", service.id.value()},
        {"kind", service.kind == service_kind::model ? "model" : "plain"},
        {"model", service.model.value()},
        {"routing_policy", service.routing_policy},
        {"first_token_target_ms", whole_milliseconds(service.first_token_target)},
        {"between_tokens_target_ms", whole_milliseconds(service.between_tokens_target)},
        {"request_deadline_ms", whole_milliseconds(service.request_deadline)},
        {"checks_fencing", service.checks_fencing},
        {"repeatable_methods", service.repeatable_methods},
        {"quick_slot_share", service.quick_slot_share},
        {"hedge_budget", service.hedge_budget},
        {"retry_budget", service.retry_budget},
        {"prices", encode_prices(service.prices)},
        {"replicas", std::move(replicas)},
    };
}

static nlohmann::json encode_organisation(const organisation_spec& organisation)
{
    auto services = nlohmann::json::array();
    for (const auto& service : organisation.services) {
        services.push_back(service.value());
    }
    return {
        {"id", organisation.id.value()},
        {"key_sha256", organisation.key_sha256},
        {"services", std::move(services)},
        {"priority", organisation.priority},
        {"requests_per_second", organisation.requests_per_second},
        {"burst", organisation.burst},
        {"concurrent_requests", organisation.concurrent_requests},
        {"cost_per_hour_micros", organisation.cost_per_hour.value()},
    };
}

static nlohmann::json encode_host_price(const host_price& price)
{
    return {
        {"zone", price.zone.value()},
        {"type", price.type.value()},
        {"reclaimable", price.reclaimable},
        {"per_hour_micros", price.per_hour.value()},
    };
}

template <typename Items, typename Encode>
static nlohmann::json encode_all(const Items& items, Encode encode)
{
    auto values = nlohmann::json::array();
    for (const auto& item : items) {
        values.push_back(encode(item));
    }
    return values;
}

std::string encode_bundle(const bundle& contents)
{
    // nlohmann::json sorts the keys and writes the shortest text of a number, which makes the
    // text canonical.
    const nlohmann::json values{
        {"version", contents.version.value()},
        {"replaces", contents.replaces.value()},
        {"required_signatures", contents.required_signatures},
        {"operators", encode_all(contents.operators,
                                 [](const operator_key& key) {
                                     return nlohmann::json{{"name", key.name},
                                                           {"public_key", key.public_key}};
                                 })},
        {"services", encode_all(contents.services, encode_service)},
        {"organisations", encode_all(contents.organisations, encode_organisation)},
        {"host_prices", encode_all(contents.host_prices, encode_host_price)},
    };
    return values.dump();
}

result<bundle> decode_bundle(std::string_view text)
{
    document source;
    source.values = nlohmann::json::parse(text, nullptr, false);
    if (source.values.is_discarded()) {
        return make_error(errc::invalid_argument, "read bundle", {}, "not JSON");
    }
    auto contents = read_bundle_document(source);
    if (contents && encode_bundle(contents.value()) != text) {
        return make_error(errc::invalid_argument, "read bundle", {}, "not canonical JSON");
    }
    return contents;
}

result<bundle> parse_bundle_file(std::string_view text, const std::string& file)
{
    const auto source = parse_toml_document(text, file);
    if (!source) {
        return source.error();
    }
    return read_bundle_document(source.value());
}

result<bundle> read_bundle_file(const std::string& path)
{
    const std::ifstream file{path};
    if (!file) {
        return make_error(errc::not_found, "read bundle", path, "cannot open the file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_bundle_file(text.str(), path);
}

} // namespace eelgrassbend
