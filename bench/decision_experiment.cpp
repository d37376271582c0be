#include "experiments.h"

#include "fakes/bundle_view.h"
#include "fakes/endpoint_directory.h"

#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace eelgrassbend::bench {

namespace {

constexpr std::size_t decisions = 20'000;
constexpr std::size_t prefix_length = 64; // blocks
constexpr std::size_t known_prefixes = 400;

/// Measures the time of a decision; for instructions, run it for one size under a profiler with
/// and without --brief, which makes a tenth of the decisions.
class decision_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "decision"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "time of a routing decision; --nodes is the number of endpoints";
    }

    int run(const experiment_options& options, std::ostream& out) override;
};

} // namespace

static bundle make_bundle(const std::string& policy)
{
    bundle declared;
    service_spec spec;
    spec.id = service_id{"draft-llm"};
    spec.routing_policy = policy;
    spec.first_token_target = std::chrono::seconds{2};
    spec.between_tokens_target = std::chrono::milliseconds{51};
    spec.quick_slot_share = 0.25;
    declared.services.push_back(spec);
    for (int zone = 0; zone < 5; ++zone) {
        for (const bool reclaimable : {true, false}) {
            declared.host_prices.push_back({availability_zone{"zone-" + std::to_string(zone)},
                                            machine_class{"standard"}, reclaimable,
                                            money{300'000 + 50'000 * zone}});
        }
    }
    return declared;
}

static fakes::directory make_directory(std::size_t endpoints)
{
    fakes::directory known;
    for (std::size_t number = 0; number < endpoints; ++number) {
        endpoint_info info;
        info.id = endpoint_id{"engine-" + std::to_string(number)};
        info.service = service_id{"draft-llm"};
        info.zone = availability_zone{"zone-" + std::to_string(number % 5)};
        info.type = machine_class{"standard"};
        known.set(info);
    }
    return known;
}

static route_request make_request(std::size_t number)
{
    route_request request;
    request.service = service_id{"draft-llm"};
    request.prompt_tokens = token_count{prefix_length * prefix_block_tokens};
    request.expected_output = token_count{100};
    for (std::size_t block = 0; block < prefix_length; ++block) {
        // Half of the prefix is shared by all, the rest by the requests of one number.
        const bool shared = block < prefix_length / 2;
        request.prefix.push_back(shared ? block + 1 : number * 1'000'003 + block);
    }
    return request;
}

static nlohmann::json measure(const std::string& policy, std::size_t endpoints, std::size_t count,
                              std::uint64_t seed)
{
    const virtual_scheduler clock;
    seeded_random random(seed);
    auto directory = make_directory(endpoints);
    const fakes::fixed_bundle bundles(make_bundle(policy));
    service_router router(clock, random, directory, bundles);
    for (std::size_t number = 0; number < endpoints; ++number) {
        load_report report;
        report.measured_at = clock.wall_now();
        report.slots = 16;
        report.running = static_cast<std::uint32_t>(random_below(random, 14));
        router.report_load(endpoint_id{"engine-" + std::to_string(number)}, report);
    }
    std::vector<route_request> requests;
    for (std::size_t number = 0; number < known_prefixes; ++number) {
        requests.push_back(make_request(number));
        const endpoint_id endpoint{"engine-" + std::to_string(random_below(random, endpoints))};
        router.report_cache(endpoint, {number, cache_event_kind::stored, requests.back().prefix});
    }
    const auto start = std::chrono::steady_clock::now();
    std::size_t chosen = 0;
    for (std::size_t turn = 0; turn < count; ++turn) {
        chosen += router.choose(requests[turn % requests.size()]).has_value() ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    return {{"policy", policy},
            {"endpoints", endpoints},
            {"decisions", count},
            {"chosen", chosen},
            {"nanoseconds_per_decision", spent.count() / static_cast<double>(count)}};
}

int decision_experiment::run(const experiment_options& options, std::ostream& out)
{
    std::vector<std::size_t> sizes{16, 200, 1800};
    if (options.nodes > 0) {
        sizes = {options.nodes};
    }
    const auto count = options.brief ? decisions / 10 : decisions;
    for (const auto size : sizes) {
        for (const auto* policy : {"two_choices", "least_outstanding", "predictive"}) {
            out << measure(policy, size, count, options.seed).dump() << "\n";
        }
    }
    return 0;
}

std::unique_ptr<experiment> make_decision_experiment()
{
    return std::make_unique<decision_experiment>();
}

} // namespace eelgrassbend::bench
