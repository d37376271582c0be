#include "eelgrassbend/entry/decision_services.h"

#include "eelgrassbend/bundle/bundle_follower.h"
#include "eelgrassbend/claims/log_claim_service.h"
#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/dissemination/epidemic_dissemination.h"
#include "eelgrassbend/endpoints/endpoint_watcher.h"
#include "eelgrassbend/endpoints/platform_endpoint_directory.h"
#include "eelgrassbend/entry/entry_status.h"
#include "eelgrassbend/entry/serving_service.h"
#include "eelgrassbend/kernel/component_service.h"
#include "eelgrassbend/ledger/replicated_ledger.h"
#include "eelgrassbend/limits/rpc_limit_peers.h"
#include "eelgrassbend/limits/shared_limiter.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/swim_membership.h"
#include "eelgrassbend/metrics/prometheus_metrics.h"
#include "eelgrassbend/peers/peer_channel.h"
#include "eelgrassbend/routing/digest_exchange.h"
#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/serving/stream_store.h"

#include <utility>

namespace eelgrassbend {

namespace {

/// Registers services and stores the first error.
class registrar {
public:
    explicit registrar(kernel& core) : core(core) {}

    void add(std::string name, std::vector<std::string> dependencies, kernel::factory make)
    {
        auto added = this->core.add(std::move(name), std::move(dependencies), std::move(make));
        if (!added && this->outcome) {
            this->outcome = added.error();
        }
    }

    result<void> outcome = boost::outcome_v2::success();

private:
    kernel& core;
};

/// Key ring with the peer keys of the settings.
class settings_key_ring : public service, public peer_key_ring {
public:
    explicit settings_key_ring(const std::vector<peer_secret>& secrets)
    {
        std::vector<peer_key> keys;
        for (const auto& secret : secrets) {
            keys.push_back({peer_key_id{secret.id}, secret.secret});
        }
        const auto signing = keys.front().id;
        this->is_valid = this->replace(std::move(keys), signing).has_value();
    }

    bool is_valid = false;
};

} // namespace

static member make_self_member(const entry_settings& settings)
{
    member self;
    self.id = settings.node;
    self.region = settings.region;
    self.zone = settings.zone;
    self.callers = settings.callers;
    self.calls = settings.calls;
    self.datagrams = settings.datagrams;
    return self;
}

static void add_peer_services(registrar& services, const entry_settings& settings)
{
    services.add("peer_keys", {}, [settings](const resolved_services&) {
        return std::make_shared<settings_key_ring>(settings.peer_keys);
    });
    services.add("authenticator", {"peer_keys", "scheduler", "random"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<frame_authenticator>>(
                         dependencies.get<peer_key_ring>("peer_keys"),
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<random_source>("random"));
                 });
    services.add("peer_channel", {"datagrams", "authenticator"},
                 [settings](const resolved_services& dependencies) {
                     return std::make_shared<component_service<peer_channel>>(
                         dependencies.get<datagram_transport>("datagrams"),
                         dependencies.get<frame_authenticator>("authenticator"),
                         settings.datagrams);
                 });
    services.add("membership", {"peer_channel", "scheduler", "random", "host_list"},
                 [settings](const resolved_services& dependencies) {
                     return std::make_shared<component_service<swim_membership>>(
                         make_self_member(settings), swim_options{},
                         dependencies.get<peer_channel>("peer_channel"),
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<random_source>("random"),
                         dependencies.get<host_list>("host_list"));
                 });
    services.add("dissemination", {"membership", "peer_channel", "scheduler", "random"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<ring_dissemination>>(
                         dissemination_options{}, dependencies.get<membership>("membership"),
                         dependencies.get<peer_channel>("peer_channel"),
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<random_source>("random"));
                 });
}

static std::shared_ptr<service> make_bundles(const entry_settings& settings,
                                             const resolved_services& dependencies)
{
    bundle_follower_options options;
    options.staleness_bound = settings.bundle_staleness;
    auto follower = std::make_shared<component_service<bundle_follower>>(
        options, operator_set{settings.trusted_operators, 1},
        dependencies.get<scheduler>("scheduler"), dependencies.get<random_source>("random"),
        dependencies.get<log_client>("platform_log"), dependencies.get<event_log>("event_log"),
        dependencies.get<peer_rpc>("peer_rpc"), dependencies.get<membership>("membership"),
        dependencies.get<dissemination>("dissemination"));
    auto& members = dependencies.get<swim_membership>("membership");
    follower->on_change([&members](const std::shared_ptr<const bundle>& in_force) {
        members.set_bundle_version(in_force->version);
    });
    return follower;
}

static void add_log_services(registrar& services, const entry_settings& settings)
{
    const std::vector<std::string> log_dependencies{"scheduler", "random",     "platform_log",
                                                    "peer_rpc",  "membership", "event_log"};
    auto follower_dependencies = log_dependencies;
    follower_dependencies.emplace_back("dissemination");
    services.add("bundles", follower_dependencies,
                 [settings](const resolved_services& dependencies) {
                     return make_bundles(settings, dependencies);
                 });
    services.add("claims", log_dependencies, [](const resolved_services& dependencies) {
        return std::make_shared<log_claim_service>(
            claim_settings{}, claim_dependencies{dependencies.get<scheduler>("scheduler"),
                                                 dependencies.get<random_source>("random"),
                                                 dependencies.get<log_client>("platform_log"),
                                                 dependencies.get<peer_rpc>("peer_rpc"),
                                                 dependencies.get<membership>("membership"),
                                                 dependencies.get<event_log>("event_log")});
    });
    services.add("ledger", log_dependencies, [](const resolved_services& dependencies) {
        return std::make_shared<replicated_ledger>(
            ledger_settings{}, ledger_dependencies{dependencies.get<scheduler>("scheduler"),
                                                   dependencies.get<random_source>("random"),
                                                   dependencies.get<log_client>("platform_log"),
                                                   dependencies.get<peer_rpc>("peer_rpc"),
                                                   dependencies.get<membership>("membership"),
                                                   dependencies.get<event_log>("event_log")});
    });
}

static std::vector<watched_endpoint>
list_watched_endpoints(const platform_endpoint_directory& endpoints, const bundle_view& bundles)
{
    const auto current_bundle = bundles.current();
    std::vector<watched_endpoint> watched;
    for (auto& info : endpoints.all()) {
        const auto* service = current_bundle->find_service(info.service);
        const bool has_cache = service != nullptr && service->kind == service_kind::model;
        watched.push_back({std::move(info), has_cache});
    }
    return watched;
}

/// Addresses of the live peers in this node's region.
static std::vector<network_address> region_peer_addresses(const membership& members)
{
    std::vector<network_address> addresses;
    for (const auto& peer : members.peers()) {
        if (peer.state == member_state::alive && peer.region == members.self().region) {
            addresses.push_back(peer.calls);
        }
    }
    return addresses;
}

static void add_routing_services(registrar& services, const entry_settings& settings)
{
    services.add(
        "endpoints",
        {"scheduler", "random", "host_list", "cloud_api", "dissemination", "event_log",
         "membership"},
        [](const resolved_services& dependencies) {
            auto& members = dependencies.get<membership>("membership");
            return std::make_shared<component_service<platform_endpoint_directory>>(
                dependencies.get<scheduler>("scheduler"), dependencies.get<random_source>("random"),
                dependencies.get<host_list>("host_list"), dependencies.get<cloud_api>("cloud_api"),
                dependencies.get<dissemination>("dissemination"),
                dependencies.get<event_log>("event_log"),
                [&members] { return members.peers().size() + 1; }, endpoint_directory_settings{});
        });
    services.add("router", {"scheduler", "random", "endpoints", "bundles"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<service_router>>(
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<random_source>("random"),
                         dependencies.get<endpoint_directory>("endpoints"),
                         dependencies.get<bundle_view>("bundles"));
                 });
    services.add("digests", {"scheduler", "peer_rpc", "router", "membership"},
                 [](const resolved_services& dependencies) {
                     auto& members = dependencies.get<membership>("membership");
                     return std::make_shared<component_service<digest_exchange>>(
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<peer_rpc>("peer_rpc"),
                         dependencies.get<service_router>("router"), members.self().id,
                         [&members] { return region_peer_addresses(members); });
                 });
    services.add(
        "watcher", {"scheduler", "endpoint_probe", "router", "endpoints", "bundles"},
        [settings](const resolved_services& dependencies) {
            auto& endpoints = dependencies.get<platform_endpoint_directory>("endpoints");
            auto& bundles = dependencies.get<bundle_view>("bundles");
            return std::make_shared<component_service<endpoint_watcher>>(
                dependencies.get<scheduler>("scheduler"),
                dependencies.get<endpoint_probe>("endpoint_probe"),
                dependencies.get<router>("router"),
                [&endpoints, &bundles] { return list_watched_endpoints(endpoints, bundles); },
                settings.endpoint_poll_interval);
        });
    services.add("entries", {"membership"}, [settings](const resolved_services& dependencies) {
        return std::make_shared<component_service<sharded_entry_directory>>(
            dependencies.get<membership>("membership"), settings.entries_time_to_live);
    });
    services.add("limit_peers", {"peer_rpc", "membership", "entries"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<rpc_limit_peers>>(
                         dependencies.get<peer_rpc>("peer_rpc"),
                         dependencies.get<membership>("membership"),
                         dependencies.get<sharded_entry_directory>("entries"));
                 });
    services.add("limits", {"scheduler", "bundles", "limit_peers"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<shared_limiter>>(
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<bundle_view>("bundles"),
                         dependencies.get<limit_peers>("limit_peers"));
                 });
}

static void add_serving_services(registrar& services, const entry_settings& settings)
{
    services.add("metrics", {}, [](const resolved_services&) {
        return std::make_shared<component_service<prometheus_metrics>>();
    });
    services.add("streams", {"scheduler", "peer_rpc", "membership"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<stream_store>>(
                         dependencies.get<scheduler>("scheduler"),
                         dependencies.get<peer_rpc>("peer_rpc"),
                         dependencies.get<membership>("membership"), stream_store_settings{});
                 });
    services.add("status", {"bundles", "membership", "endpoints", "ledger", "metrics"},
                 [](const resolved_services& dependencies) {
                     return std::make_shared<component_service<entry_status>>(
                         dependencies.get<bundle_view>("bundles"),
                         dependencies.get<membership>("membership"),
                         dependencies.get<platform_endpoint_directory>("endpoints"),
                         dependencies.get<ledger>("ledger"),
                         dependencies.get<prometheus_metrics>("metrics"));
                 });
    services.add("serving",
                 {"scheduler", "random", "event_log", "metrics", "bundles", "limits", "router",
                  "endpoints", "endpoint_client", "claims", "ledger", "streams", "entries",
                  "status", "watcher", "digests"},
                 [settings](const resolved_services& dependencies) {
                     return std::make_shared<serving_service>(settings, dependencies);
                 });
}

result<void> add_decision_services(kernel& core, const entry_settings& settings)
{
    registrar services{core};
    add_peer_services(services, settings);
    add_log_services(services, settings);
    add_routing_services(services, settings);
    add_serving_services(services, settings);
    return services.outcome;
}

} // namespace eelgrassbend
