#include "io_services.h"

#include "eelgrassbend/endpoints/http_endpoint_probe.h"
#include "eelgrassbend/kernel/component_service.h"
#include "eelgrassbend/logging/json_event_log.h"
#include "eelgrassbend/net/asio_datagrams.h"
#include "eelgrassbend/net/asio_endpoint_client.h"
#include "eelgrassbend/net/asio_http_client.h"
#include "eelgrassbend/net/asio_scheduler.h"
#include "eelgrassbend/peer_rpc/capnp_peer_rpc.h"
#include "eelgrassbend/peer_rpc/rpc_runtime.h"
#include "eelgrassbend/platform/http_platform.h"
#include "eelgrassbend/support/random_source.h"

#include <utility>
#include <vector>

namespace eelgrassbend {

static constexpr std::chrono::seconds platform_timeout{3};
static constexpr std::chrono::seconds probe_timeout{1};

static std::vector<std::pair<std::string, kernel::factory>>
independent_services(boost::asio::io_context& context, const entry_settings& settings)
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
        {"http_client",
         [&context](const resolved_services&) {
             return std::make_shared<component_service<asio_http_client>>(context);
         }},
        {"endpoint_client",
         [&context](const resolved_services&) {
             return std::make_shared<component_service<asio_endpoint_client>>(
                 context, endpoint_client_limits{});
         }},
        {"rpc_runtime",
         [&context](const resolved_services&) {
             return std::make_shared<component_service<rpc_runtime>>(context);
         }},
        {"datagrams",
         [&context, settings](const resolved_services&) {
             auto datagrams = std::make_shared<component_service<asio_datagrams>>(context);
             throw_on_error(datagrams->listen(settings.datagrams));
             return datagrams;
         }},
    };
}

template <typename Client>
static kernel::factory platform_client(const entry_settings& settings)
{
    return [settings](const resolved_services& needs) {
        return std::make_shared<component_service<Client>>(needs.get<http_client>("http_client"),
                                                           settings.platform, platform_timeout);
    };
}

static kernel::factory make_peer_rpc(boost::asio::io_context& context,
                                     const entry_settings& settings)
{
    return [&context, settings](const resolved_services& needs) {
        auto calls = std::make_shared<component_service<capnp_peer_rpc>>(
            context, needs.get<rpc_runtime>("rpc_runtime"), needs.get<scheduler>("scheduler"),
            needs.get<frame_authenticator>("authenticator"));
        throw_on_error(calls->listen(settings.calls));
        return calls;
    };
}

result<void> add_io_services(kernel& core, boost::asio::io_context& context,
                             const entry_settings& settings)
{
    for (auto& [name, make] : independent_services(context, settings)) {
        if (auto added = core.add(name, {}, std::move(make)); !added) {
            return added.error();
        }
    }
    const std::vector<std::pair<std::string, kernel::factory>> clients{
        {"platform_log", platform_client<http_log_client>(settings)},
        {"host_list", platform_client<http_host_list>(settings)},
        {"cloud_api", platform_client<http_cloud_api>(settings)},
        {"endpoint_probe",
         [](const resolved_services& needs) {
             return std::make_shared<component_service<http_endpoint_probe>>(
                 needs.get<http_client>("http_client"), probe_timeout);
         }},
    };
    for (const auto& [name, make] : clients) {
        if (auto added = core.add(name, {"http_client"}, make); !added) {
            return added.error();
        }
    }
    if (auto added = core.add("event_log", {"scheduler"},
                              [settings](const resolved_services& needs) {
                                  return std::make_shared<component_service<json_event_log>>(
                                      needs.get<scheduler>("scheduler"), settings.node,
                                      parse_log_level(settings.log_level));
                              });
        !added) {
        return added.error();
    }
    return core.add("peer_rpc", {"rpc_runtime", "scheduler", "authenticator"},
                    make_peer_rpc(context, settings));
}

} // namespace eelgrassbend
