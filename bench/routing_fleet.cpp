#include "routing_fleet.h"

namespace eelgrassbend::bench {

namespace {

/// Millionths of the currency unit.
constexpr std::int64_t unit = 1'000'000;

struct zone_price {
    const char* zone;
    double standard; ///< reclaimable, an hour
};

} // namespace

// Large machines are half as fast again as standard ones at 1.7 times the price.
static constexpr double large_price_factor = 1.7;
static constexpr double large_speed = 1.5;
static constexpr double on_demand_factor = 2.8;

static engine_settings settings_of(const std::string& type)
{
    engine_settings settings;
    settings.cache_event_loss = 0.02;
    settings.initial_model = model_id{"drafter"};
    if (type != "large") {
        return settings;
    }
    const auto faster = [](duration time) {
        return duration{
            static_cast<duration::rep>(static_cast<double>(time.count()) / large_speed)};
    };
    settings.step_base = faster(settings.step_base);
    settings.step_per_stream = faster(settings.step_per_stream);
    settings.prefill_tokens_per_second *= large_speed;
    return settings;
}

static void add_prices(bundle& declared, const zone_price& zone)
{
    for (const bool large : {false, true}) {
        for (const bool reclaimable : {true, false}) {
            double price = zone.standard * (large ? large_price_factor : 1.0);
            price *= reclaimable ? 1.0 : on_demand_factor;
            declared.host_prices.push_back(
                {availability_zone{zone.zone}, machine_class{large ? "large" : "standard"},
                 reclaimable, money{static_cast<std::int64_t>(price * unit)}});
        }
    }
}

static void add_engine(routing_fleet& built, const std::string& zone, const std::string& type,
                       bool reclaimable)
{
    fleet_engine engine;
    engine.info.id = endpoint_id{"engine-" + std::to_string(built.engines.size())};
    engine.info.service = built.declared.services.front().id;
    engine.info.zone = availability_zone{zone};
    engine.info.type = machine_class{type};
    engine.info.reclaimable = reclaimable;
    engine.settings = settings_of(type);
    built.engines.push_back(engine);
}

static routing_fleet make_empty(const std::string& service, double quick_slot_share,
                                const std::vector<zone_price>& zones)
{
    routing_fleet built;
    service_spec spec;
    spec.id = service_id{service};
    spec.first_token_target = std::chrono::seconds{2};
    spec.between_tokens_target = std::chrono::milliseconds{51};
    spec.request_deadline = std::chrono::minutes{5};
    spec.quick_slot_share = quick_slot_share;
    spec.hedge_budget = 0.05;
    spec.retry_budget = 0.1;
    built.declared.version = bundle_version{1};
    built.declared.services.push_back(spec);
    for (const auto& zone : zones) {
        add_prices(built.declared, zone);
        add_engine(built, zone.zone, "standard", true);
        add_engine(built, zone.zone, "large", true);
    }
    return built;
}

routing_fleet make_fleet(const std::string& deployment)
{
    if (deployment == "kilimanjaro") {
        auto built = make_empty(
            "draft-llm", 0.25,
            {{"arusha-a", 0.36}, {"arusha-b", 0.40}, {"moshi-a", 0.52}, {"moshi-b", 0.60}});
        add_engine(built, "arusha-a", "standard", false);
        add_engine(built, "moshi-a", "standard", false);
        built.quick_share = 0.55;
        built.long_share = 0.12;
        built.organisation_weights = {0.40, 0.30, 0.15, 0.10, 0.05};
        return built;
    }
    if (deployment == "magnolia") {
        auto built = make_empty(
            "estimator-llm", 0.35,
            {{"mobile-bay", 0.42}, {"raleigh", 0.48}, {"jackson", 0.62}, {"pensacola", 0.70}});
        add_engine(built, "mobile-bay", "standard", true);
        add_engine(built, "raleigh", "standard", true);
        add_engine(built, "jackson", "standard", false);
        add_engine(built, "mobile-bay", "standard", false);
        built.quick_share = 0.50;
        built.long_share = 0.20;
        built.organisation_weights = {0.45, 0.30, 0.12, 0.08, 0.05};
        return built;
    }
    return {};
}

} // namespace eelgrassbend::bench
