#include "bundle_reader.h"

#include "eelgrassbend/support/hex.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace eelgrassbend {

using std::chrono::milliseconds;

static constexpr std::size_t max_services = 256;
static constexpr std::size_t max_organisations = 10'000;
static constexpr std::size_t max_replica_goals = 256;
static constexpr std::size_t max_host_prices = 1'024;
static constexpr std::size_t max_id_length = 64;
static constexpr std::size_t max_model_length = 128;
static constexpr std::size_t max_methods = 16;
static constexpr std::size_t key_bytes = 32;
static constexpr std::int64_t max_target_ms = 600'000;
static constexpr std::int64_t max_deadline_ms = 86'400'000;
static constexpr std::int64_t max_money_micros = 1'000'000'000'000'000;
static constexpr std::int64_t max_priority = 1'000;
static constexpr std::int64_t max_count = 1'000'000;
static constexpr std::int64_t max_replicas = 10'000;
static constexpr double max_rate = 1'000'000.0;

static constexpr std::array<std::string_view, 5> routing_policies{
    "random", "round_robin", "least_outstanding", "two_choices", "predictive"};
static constexpr std::array<std::string_view, 7> http_methods{"GET",    "HEAD", "OPTIONS", "PUT",
                                                              "DELETE", "POST", "PATCH"};

template <typename Names>
static std::string list_names(const Names& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + std::string{name};
    }
    return text;
}

template <typename Names>
static bool one_of(const Names& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

static bool id_character(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.';
}

static std::string read_id(table_reader& table, const std::string& key)
{
    auto id = table.text(key);
    const bool valid = !id.empty() && id.size() <= max_id_length &&
                       std::all_of(id.begin(), id.end(), id_character);
    if (!valid) {
        table.fail(key, "must have 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return id;
}

static std::string read_hex_key(table_reader& table, const std::string& key)
{
    auto text = table.text(key);
    if (!from_hex(text, key_bytes)) {
        table.fail(key, "must have 64 lower-case hexadecimal digits");
    }
    return text;
}

static money read_money(table_reader& table, const std::string& key)
{
    return money{table.integer(key, 0, max_money_micros, 0)};
}

template <typename Values, typename Value>
static void add_unique(Values& seen, const Value& value, table_reader& table,
                       const std::string& key)
{
    if (!seen.insert(value).second) {
        table.fail(key, "is used twice; it must be unique");
    }
}

static void read_model(table_reader& table, service_spec& service)
{
    auto model = table.text("model", "");
    const auto printable = [](char character) { return character > ' ' && character <= '~'; };
    if (model.size() > max_model_length || !std::all_of(model.begin(), model.end(), printable)) {
        table.fail("model", "must have at most 128 printable characters without spaces");
    }
    if (service.kind == service_kind::model && model.empty()) {
        table.fail("model", "a model service must name its model");
    }
    if (service.kind == service_kind::plain && !model.empty()) {
        table.fail("model", "is for model services only");
    }
    service.model = model_id{std::move(model)};
}

static void read_kind(table_reader& table, service_spec& service)
{
    const auto kind = table.text("kind");
    if (kind != "model" && kind != "plain") {
        table.fail("kind", "is \"" + kind + "\"; allowed are model, plain");
    }
    service.kind = kind == "plain" ? service_kind::plain : service_kind::model;
    service.routing_policy = table.text("routing_policy");
    if (!one_of(routing_policies, service.routing_policy)) {
        table.fail("routing_policy", "is \"" + service.routing_policy + "\"; allowed are " +
                                         list_names(routing_policies));
    }
}

static void read_times(table_reader& table, service_spec& service)
{
    service.first_token_target =
        milliseconds{table.integer("first_token_target_ms", 0, max_target_ms, 0)};
    service.between_tokens_target =
        milliseconds{table.integer("between_tokens_target_ms", 0, max_target_ms, 0)};
    service.request_deadline =
        milliseconds{table.integer("request_deadline_ms", 1, max_deadline_ms)};
    if (service.kind == service_kind::plain && service.between_tokens_target > duration::zero()) {
        table.fail("between_tokens_target_ms", "is for model services only");
    }
}

static void read_methods(table_reader& table, service_spec& service)
{
    service.repeatable_methods = table.texts("repeatable_methods", max_methods, false);
    if (service.kind == service_kind::model && !service.repeatable_methods.empty()) {
        table.fail("repeatable_methods", "is for plain services only");
    }
    std::set<std::string> seen;
    for (const auto& method : service.repeatable_methods) {
        if (!one_of(http_methods, method)) {
            table.fail("repeatable_methods",
                       "has \"" + method + "\"; allowed are " + list_names(http_methods));
        }
        add_unique(seen, method, table, "repeatable_methods");
    }
}

static tariff read_tariff(table_reader& table)
{
    tariff prices;
    prices.per_request = read_money(table, "per_request_micros");
    prices.per_thousand_prompt_tokens = read_money(table, "per_thousand_prompt_tokens_micros");
    prices.per_thousand_output_tokens = read_money(table, "per_thousand_output_tokens_micros");
    return prices;
}

static service_spec read_service(table_reader& table)
{
    service_spec service;
    service.id = service_id{read_id(table, "id")};
    read_kind(table, service);
    read_model(table, service);
    read_times(table, service);
    read_methods(table, service);
    service.checks_fencing = table.flag("checks_fencing", false);
    service.quick_slot_share = table.number("quick_slot_share", 0.0, 1.0, 0.0);
    service.hedge_budget = table.number("hedge_budget", 0.0, 1.0, 0.0);
    service.retry_budget = table.number("retry_budget", 0.0, 1.0, 0.0);
    table.table("prices", [&](table_reader& prices) { service.prices = read_tariff(prices); });
    std::set<std::pair<std::string, std::string>> seen;
    table.tables("replicas", max_replica_goals, [&](table_reader& goal) {
        replica_goal replicas;
        replicas.zone = availability_zone{read_id(goal, "zone")};
        replicas.type = machine_class{read_id(goal, "type")};
        replicas.least = static_cast<std::uint32_t>(goal.integer("least", 0, max_replicas));
        add_unique(seen, std::pair{replicas.zone.value(), replicas.type.value()}, goal, "type");
        service.replicas.push_back(std::move(replicas));
    });
    return service;
}

static organisation_spec read_organisation(table_reader& table,
                                           const std::set<std::string>& services)
{
    organisation_spec organisation;
    organisation.id = organisation_id{read_id(table, "id")};
    organisation.key_sha256 = read_hex_key(table, "key_sha256");
    std::set<std::string> seen;
    for (const auto& service : table.texts("services", max_services, true)) {
        if (!services.contains(service)) {
            table.fail("services", "has unknown service \"" + service + "\"; allowed are " +
                                       list_names(services));
        }
        add_unique(seen, service, table, "services");
        organisation.services.emplace_back(service);
    }
    organisation.priority =
        static_cast<std::int32_t>(table.integer("priority", -max_priority, max_priority, 0));
    organisation.requests_per_second = table.number("requests_per_second", 0.0, max_rate, 0.0);
    organisation.burst = table.number("burst", 0.0, max_rate, 0.0);
    organisation.concurrent_requests =
        static_cast<std::uint32_t>(table.integer("concurrent_requests", 0, max_count, 0));
    organisation.cost_per_hour = read_money(table, "cost_per_hour_micros");
    return organisation;
}

static host_price read_host_price(table_reader& table)
{
    host_price price;
    price.zone = availability_zone{read_id(table, "zone")};
    price.type = machine_class{read_id(table, "type")};
    price.reclaimable = table.flag("reclaimable", true);
    price.per_hour = money{table.integer("per_hour_micros", 0, max_money_micros)};
    return price;
}

std::vector<operator_key> read_operators(table_reader& root, std::uint32_t required_signatures)
{
    std::vector<operator_key> operators;
    std::set<std::string> names;
    std::set<std::string> keys;
    root.tables("operators", max_operators, [&](table_reader& table) {
        operator_key key{read_id(table, "name"), read_hex_key(table, "public_key")};
        add_unique(names, key.name, table, "name");
        add_unique(keys, key.public_key, table, "public_key");
        operators.push_back(std::move(key));
    });
    if (!operators.empty() && required_signatures > operators.size()) {
        root.fail("required_signatures",
                  "must be at most the number of operators, " + std::to_string(operators.size()));
    }
    return operators;
}

static void read_header(table_reader& root, bundle& target)
{
    const auto version = root.integer("version", 1, max_bundle_version);
    const auto replaces = root.integer("replaces", 0, max_bundle_version, 0);
    if (replaces >= version) {
        root.fail("replaces", "must be less than version, " + std::to_string(version));
    }
    target.version = bundle_version{static_cast<std::uint64_t>(version)};
    target.replaces = bundle_version{static_cast<std::uint64_t>(replaces)};
    target.required_signatures =
        static_cast<std::uint32_t>(root.integer("required_signatures", 1, max_operators, 1));
    target.operators = read_operators(root, target.required_signatures);
}

static void read_organisations(table_reader& root, const std::set<std::string>& services,
                               bundle& target)
{
    std::set<std::string> ids;
    std::set<std::string> keys;
    root.tables("organisations", max_organisations, [&](table_reader& table) {
        target.organisations.push_back(read_organisation(table, services));
        add_unique(ids, target.organisations.back().id.value(), table, "id");
        add_unique(keys, target.organisations.back().key_sha256, table, "key_sha256");
    });
}

static void read_host_prices(table_reader& root, bundle& target)
{
    std::set<std::tuple<std::string, std::string, bool>> seen;
    root.tables("host_prices", max_host_prices, [&](table_reader& table) {
        const auto price = read_host_price(table);
        add_unique(seen, std::tuple{price.zone.value(), price.type.value(), price.reclaimable},
                   table, "zone");
        target.host_prices.push_back(price);
    });
}

result<bundle> read_bundle_document(const document& source)
{
    document_errors errors{source};
    table_reader root{source.values, {}, errors};
    bundle target;
    read_header(root, target);
    std::set<std::string> services;
    root.tables("services", max_services, [&](table_reader& table) {
        target.services.push_back(read_service(table));
        add_unique(services, target.services.back().id.value(), table, "id");
    });
    read_organisations(root, services, target);
    read_host_prices(root, target);
    root.finish();
    if (errors.first()) {
        return *errors.first();
    }
    return target;
}

} // namespace eelgrassbend
