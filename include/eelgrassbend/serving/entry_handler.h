#ifndef EELGRASSBEND_SERVING_ENTRY_HANDLER_H
#define EELGRASSBEND_SERVING_ENTRY_HANDLER_H

#include "eelgrassbend/serving/completion_codec.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/request_flow.h"
#include "eelgrassbend/serving/serving_services.h"
#include "eelgrassbend/serving/stream_state.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace eelgrassbend {

/// Status of the node for operators; implemented by the daemon.
class node_status {
public:
    virtual ~node_status() = default;
    /// Returns why the node cannot serve requests; empty if it can.
    [[nodiscard]] virtual std::string cannot_serve_reason() const = 0;
    /// Whether a planned stop has begun: the node still serves requests, but reports not ready.
    [[nodiscard]] virtual bool is_stopping() const = 0;
    [[nodiscard]] virtual std::string metrics_text() const = 0;
    /// Returns a JSON object.
    [[nodiscard]] virtual std::string status_json() const = 0;
};

/// Handles callers' requests: authenticates the caller, resolves the service, applies the limits
/// and starts a flow for each admitted request.
class entry_handler : public http_handler {
public:
    entry_handler(const serving_services& services, const entry_directory& entries,
                  const node_status& status);

    void handle(http_request request, std::shared_ptr<exchange> answer) override;
    /// Must be called for every change of an endpoint.
    void handle_endpoint_changed(const endpoint_info& changed);

    /// Suspends a stream that is served here and returns its state so that another node can resume
    /// it.
    stream_fetch_answer release_stream(const request_id& request);
    /// Suspends all streams and hands their states to peers; the callers reconnect to another node.
    void hand_over_streams();

    /// Number of requests in flight.
    [[nodiscard]] std::size_t active_requests() const { return this->flows.size(); }

private:
    void respond_entries(const http_request& request, exchange& answer) const;
    void respond_ready(exchange& answer) const;
    void serve_completion(completion_kind kind, http_request request,
                          std::shared_ptr<exchange> answer);
    void resume_stream(admitted_request admitted, completion_request completion,
                       const event_position& last_seen);
    void handle_stream_found(admitted_request admitted, completion_request completion,
                             const event_position& last_seen, result<stream_state> found);
    void serve_plain(http_request request, std::shared_ptr<exchange> answer);
    /// Identifies the organisation by its key. Errors: `unauthenticated` if the key is missing or
    /// unknown, `stale` if the bundle is too old, `unavailable` if the node cannot serve.
    result<admitted_request> authenticate(http_request request,
                                          std::shared_ptr<exchange> answer) const;
    result<void> resolve_service(admitted_request& admitted, const std::string& name,
                                 service_kind kind) const;
    /// Returns whether the limits admit the request; refuses it if they do not.
    bool admit(const admitted_request& admitted, money expected_cost);
    /// Refuses a new request if the ledger has no capacity for its entry; returns whether it did.
    bool refuse_unbillable(const admitted_request& admitted);
    void start_flow(std::shared_ptr<request_flow> flow, const request_id& id);
    request_flow::ended_handler make_ended_handler();

    const serving_services& services;
    const entry_directory& entry_hosts;
    const node_status& status;
    std::unordered_map<std::string, std::shared_ptr<request_flow>> flows;
};

} // namespace eelgrassbend

#endif
