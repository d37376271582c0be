#ifndef EELGRASSBEND_GATEWAY_GATEWAY_H
#define EELGRASSBEND_GATEWAY_GATEWAY_H

#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/scaler.h"
#include "eelgrassbend/duties/usage_reporter.h"
#include "eelgrassbend/gateway/declarations.h"
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
struct gateway_needs {
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
    const declarations& declared;
};

/// Everything that decides on one entry node: which configuration is in force, which endpoints
/// there are, where requests go, and the duties of the whole system while this node holds them.
class gateway {
public:
    /// Called with each configuration that comes into force.
    using table_observer = std::function<void(const route_table&)>;

    gateway(const gateway_needs& needs, const gateway_settings& settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void on_table(table_observer handler);
    /// Leaves the directory; requests are still taken.
    void begin_stop();
    /// Refuses new requests from now on.
    void stop_taking();

    [[nodiscard]] bool is_ready() const;
    /// Where callers shall connect, with this node if it is ready.
    [[nodiscard]] std::vector<network_address> callers() const;
    /// How long callers may keep that answer.
    [[nodiscard]] duration directory_time_to_live() const;

    [[nodiscard]] http_handler& door();
    [[nodiscard]] std::size_t active() const;

private:
    struct parts;
    std::unique_ptr<parts> held;
};

} // namespace eelgrassbend

#endif
