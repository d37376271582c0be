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

/// What operators see of the node; the daemon provides it.
class node_status {
public:
    virtual ~node_status() = default;
    /// Empty if the node can serve requests, else why it cannot.
    [[nodiscard]] virtual std::string cannot_serve_reason() const = 0;
    /// Whether a planned stop has begun: the node still serves, but should get no new callers.
    [[nodiscard]] virtual bool is_stopping() const = 0;
    [[nodiscard]] virtual std::string metrics_text() const = 0;
    /// A JSON object.
    [[nodiscard]] virtual std::string status_json() const = 0;
};

/// Answers callers: finds out who asks for what, and starts a flow for what is admitted.
class entry_handler : public http_handler {
public:
    entry_handler(const serving_services& services, const entry_directory& entries,
                  const node_status& status);

    void handle(http_request request, std::shared_ptr<exchange> answer) override;
    /// To be called for every change of an endpoint.
    void handle_endpoint_changed(const endpoint_info& changed);

    /// Gives up a stream that is being served here, for another node to go on with.
    stream_fetch_answer release_stream(const request_id& request);
    /// Hands all streams to peers; their callers come back elsewhere.
    void hand_over_streams();

    /// Requests under way.
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
    /// Who asks; error if the key is wrong or the view too old.
    result<admitted_request> authenticate(http_request request,
                                          std::shared_ptr<exchange> answer) const;
    result<void> resolve_service(admitted_request& admitted, const std::string& name,
                                 service_kind kind) const;
    /// Whether the limits admit the request; refuses it otherwise.
    bool admit(const admitted_request& admitted, money expected_cost);
    /// Refuses a new request whose line would find no room in the ledger; true if it did.
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
