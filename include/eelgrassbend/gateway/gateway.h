#ifndef EELGRASSBEND_GATEWAY_GATEWAY_H
#define EELGRASSBEND_GATEWAY_GATEWAY_H

#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/scaler.h"
#include "eelgrassbend/duties/usage_reporter.h"
#include "eelgrassbend/gateway/declaration_reader.h"
#include "eelgrassbend/gateway/node_presence.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/serving/forward_handler.h"
#include "eelgrassbend/serving/run_migrator.h"
#include "eelgrassbend/settings/gateway_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// What a gateway needs of the outside; all outlive it.
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
};

/// Everything that decides on one entry node: which configuration is in force, which endpoints
/// there are, where requests go, and the duties of the whole system while this node holds them.
class gateway {
public:
    /// Called with each configuration that comes into force.
    using table_handler = std::function<void(const route_table&)>;

    gateway(const gateway_dependencies& dependencies, const gateway_settings& settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void on_table_change(table_handler handler);
    /// Leaves the directory; requests are still taken.
    void begin_stop();
    /// Refuses new requests from now on.
    void stop_accepting();

    [[nodiscard]] bool is_ready() const;
    /// Where callers shall connect, with this node if it is ready.
    [[nodiscard]] std::vector<network_address> ready_addresses() const;
    /// How long callers may keep that answer.
    [[nodiscard]] duration directory_time_to_live() const;

    [[nodiscard]] http_handler& request_handler();
    [[nodiscard]] std::size_t active_requests() const;

private:
    struct impl;
    std::unique_ptr<impl> state;
};

} // namespace eelgrassbend

#endif
