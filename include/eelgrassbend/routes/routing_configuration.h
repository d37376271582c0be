#ifndef EELGRASSBEND_ROUTES_ROUTING_CONFIGURATION_H
#define EELGRASSBEND_ROUTES_ROUTING_CONFIGURATION_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Version number that operators assign to a routing configuration. Versions increase but need not
/// be consecutive.
using configuration_version = strong_number<struct configuration_version_tag, std::uint64_t>;

/// Whether a request may be repeated.
enum class request_kind : std::uint8_t {
    idempotent,
    non_idempotent,
    stream, ///< non-idempotent unless the route is resumable
};

/// A service of a split with its share of the requests.
struct service_share {
    service_id service;
    double weight = 1.0;
};

/// Target services and rules for requests of one host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    std::vector<service_share> split; ///< never empty
    duration timeout{};               ///< maximum time until the final answer
    duration objective{};      ///< target time until the answer, or the first event of a stream
    duration max_event_gap{};  ///< between events of a stream; zero: unbounded
    std::int32_t priority = 0; ///< 0 is most urgent
    int max_endpoints = 1;     ///< number of endpoints that one request may be sent to
    bool is_public = false;    ///< requires no key
    bool is_sticky = false;    ///< requests share parts of their prompts; not used for routing
    bool is_resumable = false;

    /// Whether a request may be run at an endpoint although another one may have run it already.
    [[nodiscard]] bool is_repeatable() const
    {
        return this->kind == request_kind::idempotent ||
               (this->kind == request_kind::stream && this->is_resumable);
    }
};

/// A customer with its keys and its quota.
struct organisation {
    organisation_id id;
    std::vector<std::string> keys;
    std::optional<std::int32_t> priority; ///< takes precedence over the route's
    double rate = 0.0;                    ///< units per second over all nodes; 0: no limit
    double burst = 0.0;                   ///< units
    bool counts_tokens = false;           ///< the unit is a token, otherwise a request
    double default_tokens = 1.0;          ///< counted for a request that specifies no tokens
};

/// Limits and prices for provisioning endpoints of a service in each availability zone.
struct scaling_limits {
    int min_per_zone = 0;
    int max_per_zone = 0;
    duration boot_time{};
    double reclaimable_price = 1.0; ///< share of the price of an on-demand endpoint
    std::map<availability_zone, double> zone_prices;
};

/// Capabilities of the engines of a model service.
struct engine_traits {
    int slots = 0;
    token_count memory;              ///< capacity of the KV cache
    bool can_migrate = false;        ///< KV cache of a run can be copied to another engine
    duration kv_copy_retention{};    ///< time for which a copy is retained
    std::int64_t kv_token_bytes = 0; ///< KV cache bytes per token

    /// Whether slots limit an engine before its KV cache and its prefill rate do: the cache has
    /// room for two long prompts in each slot. Engines of 32 slots with 21,000 tokens for each were
    /// late with 22 slots taken.
    [[nodiscard]] bool is_slot_bound() const
    {
        constexpr std::int64_t min_tokens_per_slot = 24'576;
        return this->slots > 0 && this->memory.value() > this->slots * min_tokens_per_slot;
    }
};

struct routed_service {
    service_id id;
    int max_connections = 0; ///< to one endpoint from all callers; 0: unbounded
    std::optional<engine_traits> engine;
    std::optional<scaling_limits> scaling;
    std::string health_path; ///< of its endpoints; empty if there is none
};

/// Limits on the size and duration of a caller's request. Zero: unbounded.
struct caller_limits {
    std::size_t header_bytes = 0;
    std::size_t body_bytes = 0;
    duration header_time{};
    duration idle_time{};
};

/// One version of everything that operators declare.
struct routing_configuration {
    configuration_version version;
    std::vector<route> routes;
    std::vector<routed_service> services;
    std::vector<organisation> organisations;
    caller_limits limits;
};

} // namespace eelgrassbend

#endif
