#ifndef EELGRASSBEND_BUNDLE_BUNDLE_H
#define EELGRASSBEND_BUNDLE_BUNDLE_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

enum class service_kind { model, plain };

/// What organisations pay for.
struct tariff {
    money per_request;
    money per_thousand_prompt_tokens;
    money per_thousand_output_tokens;
};

/// What the bundle wants to run of a service.
struct replica_goal {
    availability_zone zone;
    machine_class type;
    std::uint32_t least = 0;
};

struct service_spec {
    service_id id;
    service_kind kind = service_kind::model;
    model_id model;             ///< model services only
    std::string routing_policy; ///< "random", "round_robin", "least_outstanding", "two_choices" or
                                ///< "predictive"
    duration first_token_target{};    ///< latency target for 95 in 100
    duration between_tokens_target{}; ///< latency target for 95 in 100
    duration request_deadline{};      ///< longest a request may take
    bool checks_fencing = false;      ///< endpoints refuse orders with an old fencing token
    std::vector<std::string>
        repeatable_methods;        ///< plain services: HTTP methods that may run again
    double quick_slot_share = 0.0; ///< share of an endpoint's slots kept from long work
    double hedge_budget = 0.0;     ///< hedges as a share of requests
    double retry_budget = 0.0;     ///< retries as a share of requests
    tariff prices;
    std::vector<replica_goal> replicas;
};

struct organisation_spec {
    organisation_id id;
    std::string key_sha256; ///< SHA-256 of the bearer key, lower-case hexadecimal
    std::vector<service_id> services;
    std::int32_t priority = 0;        ///< higher goes first
    double requests_per_second = 0.0; ///< 0: no limit
    double burst = 0.0;
    std::uint32_t concurrent_requests = 0; ///< 0: no limit
    money cost_per_hour;                   ///< 0: no limit
};

/// What a host costs the operators.
struct host_price {
    availability_zone zone;
    machine_class type;
    bool reclaimable = true;
    money per_hour;
};

struct operator_key {
    std::string name;
    std::string public_key; ///< Ed25519, 32 bytes in hexadecimal
};

/// All that operators declare, as one version.
struct bundle {
    bundle_version version;
    bundle_version replaces;
    std::vector<operator_key> operators;
    std::uint32_t required_signatures = 1;
    std::vector<service_spec> services;
    std::vector<organisation_spec> organisations;
    std::vector<host_price> host_prices;

    /// Null if there is none.
    [[nodiscard]] const service_spec* find_service(const service_id& id) const;
    /// Null if there is none.
    [[nodiscard]] const organisation_spec* find_organisation(const organisation_id& id) const;
    /// The organisation whose bearer key hashes to `key_sha256`; null if there is none.
    [[nodiscard]] const organisation_spec* find_key(const std::string& key_sha256) const;
};

/// The bundle in force on this node.
class bundle_view {
public:
    virtual ~bundle_view() = default;
    /// Never null; version 0 and empty before the first bundle is known.
    [[nodiscard]] virtual std::shared_ptr<const bundle> current() const = 0;
    /// Whether the view is recent enough to accept new work on it.
    [[nodiscard]] virtual bool fresh() const = 0;
};

} // namespace eelgrassbend

#endif
