#include "gateway_services.h"

#include "eelgrassbend/gateway/gateway.h"
#include "eelgrassbend/kernel/component_service.h"
#include "eelgrassbend/logging/json_event_log.h"
#include "eelgrassbend/logging/rate_limited_event_log.h"
#include "eelgrassbend/metrics/prometheus_metrics.h"
#include "eelgrassbend/net/asio_datagrams.h"
#include "eelgrassbend/net/asio_endpoint_client.h"
#include "eelgrassbend/net/asio_http_client.h"
#include "eelgrassbend/net/asio_reachability_probe.h"
#include "eelgrassbend/net/asio_scheduler.h"
#include "eelgrassbend/net/descriptor_budget.h"
#include "eelgrassbend/support/random_source.h"

#include "platform/duty_client.h"
#include "platform/forward_headers.h"
#include "platform/migration_client.h"
#include "platform/platform_declaration_reader.h"
#include "platform/rollout_codec.h"
#include "platform/store_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <sys/resource.h>

namespace eelgrassbend {

/// Beyond the time that a read may wait at the store; a silent connection shows by then.
static constexpr std::chrono::milliseconds store_timeout{900};
static constexpr std::chrono::milliseconds duty_timeout{2000};
static constexpr std::chrono::milliseconds connect_timeout{400};
/// Copies take milliseconds; what takes longer is queued behind others, or the engine is gone.
static constexpr std::chrono::milliseconds move_timeout{1000};
/// Three lines a request at four times the usual load of a node.
static constexpr double log_lines_per_second = 200.0;
/// An endpoint sends at most a second answer to a request now and then.
static constexpr int most_skipped_answers = 4;

static endpoint_client_limits endpoint_limits()
{
    endpoint_client_limits limits;
    limits.connect_timeout = connect_timeout;
    limits.attempt_header = request_id_header();
    limits.allows_missing_attempt_id = true;
    limits.allows_close_delimited_bodies = true;
    limits.max_skipped_answers = most_skipped_answers;
    limits.probe_target.clear();
    return limits;
}

// The system's own limit may be lower than the one that the settings grant.
static std::size_t descriptor_limit(const gateway_settings& settings)
{
    rlimit system{};
    if (getrlimit(RLIMIT_NOFILE, &system) != 0 || system.rlim_cur == RLIM_INFINITY) {
        return settings.limits.descriptors;
    }
    return std::min(settings.limits.descriptors, static_cast<std::size_t>(system.rlim_cur));
}

namespace {

class gateway_service : public service, public gateway {
public:
    gateway_service(const gateway_dependencies& needs, const gateway_settings& settings)
        : gateway(needs, settings)
    {
    }
};

} // namespace

using registration = std::pair<std::string, kernel::factory>;

static std::vector<registration> independent_services(boost::asio::io_context& context,
                                                      const gateway_settings& settings)
{
    return {
        {"scheduler",
         [&context](const resolved_services&) {
             return std::make_shared<component_service<asio_scheduler>>(context);
         }},
        {"random",
         [](const resolved_services&) {
             return std::make_shared<component_service<seeded_random>>(system_seed());
         }},
        {"metrics",
         [](const resolved_services&) {
             return std::make_shared<component_service<prometheus_metrics>>();
         }},
        {"descriptors",
         [settings](const resolved_services&) {
             return std::make_shared<component_service<descriptor_budget>>(
                 descriptor_limit(settings));
         }},
        {"probes",
         [&context](const resolved_services&) {
             return std::make_shared<component_service<asio_reachability_probe>>(context,
                                                                                 connect_timeout);
         }},
        {"protocol",
         [](const resolved_services&) {
             return std::make_shared<component_service<forward_headers>>();
         }},
        {"declarations",
         [](const resolved_services&) {
             return std::make_shared<component_service<platform_declaration_reader>>();
         }},
        {"rollouts",
         [](const resolved_services&) {
             return std::make_shared<component_service<rollout_codec>>();
         }},
        {"datagrams",
         [&context, settings](const resolved_services&) {
             auto datagrams = std::make_shared<component_service<asio_datagrams>>(context);
             throw_on_error(datagrams->listen(settings.datagrams));
             return datagrams;
         }},
    };
}

static std::shared_ptr<service> make_gateway(const resolved_services& needs,
                                             const gateway_settings& settings)
{
    return std::make_shared<gateway_service>(
        gateway_dependencies{
            needs.get<scheduler>("scheduler"), needs.get<random_source>("random"),
            needs.get<event_log>("event_log"), needs.get<metrics>("metrics"),
            needs.get<record_store>("store"), needs.get<datagram_transport>("datagrams"),
            needs.get<endpoint_client>("endpoint_client"), needs.get<duty_calls>("duty_calls"),
            needs.get<run_migrator>("run_mover"), needs.get<forward_protocol>("protocol"),
            needs.get<declaration_reader>("declarations"), needs.get<reachability_probe>("probes"),
            &needs.get<rollout_protocol>("rollouts")},
        settings);
}

result<void> add_gateway_services(kernel& core, boost::asio::io_context& context,
                                  const gateway_settings& settings)
{
    for (auto& [name, make] : independent_services(context, settings)) {
        if (auto added = core.add(name, {}, std::move(make)); !added) {
            return added.error();
        }
    }
    const std::vector<std::pair<std::vector<std::string>, registration>> dependent{
        {{"descriptors"},
         {"http_client",
          [&context](const resolved_services& needs) {
              return std::make_shared<component_service<asio_http_client>>(
                  context, &needs.get<descriptor_budget>("descriptors"));
          }}},
        {{"descriptors"},
         {"endpoint_client",
          [&context](const resolved_services& needs) {
              return std::make_shared<component_service<asio_endpoint_client>>(
                  context, endpoint_limits(), &needs.get<descriptor_budget>("descriptors"));
          }}},
        {{"scheduler"},
         {"log_output",
          [settings](const resolved_services& needs) {
              return std::make_shared<component_service<json_event_log>>(
                  needs.get<scheduler>("scheduler"), settings.node,
                  parse_log_level(settings.log_level));
          }}},
        {{"log_output", "scheduler"},
         {"event_log",
          [](const resolved_services& needs) {
              return std::make_shared<component_service<rate_limited_event_log>>(
                  needs.get<event_log>("log_output"), needs.get<scheduler>("scheduler"),
                  log_lines_per_second);
          }}},
        {{"http_client"},
         {"store",
          [settings](const resolved_services& needs) {
              return std::make_shared<component_service<store_client>>(
                  needs.get<http_client>("http_client"), settings.store, store_timeout);
          }}},
        {{"http_client"},
         {"duty_calls",
          [settings](const resolved_services& needs) {
              return std::make_shared<component_service<duty_client>>(
                  needs.get<http_client>("http_client"), settings.cloud.value_or(network_address{}),
                  settings.node, duty_timeout);
          }}},
        {{"http_client"},
         {"run_mover",
          [](const resolved_services& needs) {
              return std::make_shared<component_service<migration_client>>(
                  needs.get<http_client>("http_client"), move_timeout);
          }}},
        {{"scheduler", "random", "event_log", "metrics", "store", "datagrams", "endpoint_client",
          "duty_calls", "run_mover", "protocol", "declarations", "probes", "rollouts"},
         {"gateway",
          [settings](const resolved_services& needs) { return make_gateway(needs, settings); }}},
    };
    for (const auto& [needs, entry] : dependent) {
        if (auto added = core.add(entry.first, needs, entry.second); !added) {
            return added.error();
        }
    }
    return boost::outcome_v2::success();
}

} // namespace eelgrassbend
