#ifndef EELGRASSBEND_GATEWAY_GATEWAY_H
#define EELGRASSBEND_GATEWAY_GATEWAY_H

#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/scaler.h"
#include "eelgrassbend/duties/slot_scaler.h"
#include "eelgrassbend/duties/usage_reporter.h"
#include "eelgrassbend/endpoints/reachability_probe.h"
#include "eelgrassbend/gateway/declaration_reader.h"
#include "eelgrassbend/gateway/node_presence.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/rollout/rollout_protocol.h"
#include "eelgrassbend/serving/forward_handler.h"
#include "eelgrassbend/serving/run_migrator.h"
#include "eelgrassbend/settings/gateway_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Dependencies of a gateway; all outlive it.
struct gateway_dependencies {
    scheduler& time;
    random_source& random;
    event_log& log;
    metrics& counters;
    record_store& store;
    datagram_transport& datagrams;
    endpoint_client& client;
    duty_calls& duties;
    run_migrator& mover;
    const forward_protocol& protocol;
    const declaration_reader& declared;
    reachability_probe& probes;
    const rollout_protocol* rollouts = nullptr; ///< null: orders for roll-outs are ignored
};

/// One entry node: applies the current configuration, tracks endpoints, routes requests, and runs
/// the fleet-wide duties while this node holds the duty lease.
class gateway {
public:
    /// Called with each configuration that takes effect.
    using table_handler = std::function<void(const route_table&)>;
    /// Returns whether the process has the resources to accept and serve callers.
    using capacity_check = std::function<bool()>;

    gateway(const gateway_dependencies& dependencies, const gateway_settings& settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void on_table_change(table_handler handler);
    /// The node is not ready while `check` returns false.
    void set_capacity_check(capacity_check check);
    /// Withdraws this node from the directory; requests are still accepted, except those that may
    /// run only once and may last beyond `end`.
    void begin_stop(monotonic_time end);
    /// Refuses new requests.
    void stop_accepting();
    /// Ends the requests in flight, each with an answer unless a part of one has been sent.
    void end_requests();

    [[nodiscard]] bool is_ready() const;
    /// Addresses of the nodes that accept callers, in random order; includes this node if it is
    /// ready or no other is known.
    [[nodiscard]] std::vector<network_address> ready_addresses() const;
    /// Time for which callers may cache `ready_addresses`.
    [[nodiscard]] duration directory_time_to_live() const;

    [[nodiscard]] http_handler& request_handler();
    [[nodiscard]] std::size_t active_requests() const;

private:
    struct impl;
    std::unique_ptr<impl> state;
};

} // namespace eelgrassbend

#endif
