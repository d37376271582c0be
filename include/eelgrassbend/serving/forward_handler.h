#ifndef EELGRASSBEND_SERVING_FORWARD_HANDLER_H
#define EELGRASSBEND_SERVING_FORWARD_HANDLER_H

#include "eelgrassbend/serving/forward_flow.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace eelgrassbend {

/// Handles requests that are forwarded unchanged: finds the route, authenticates the organisation,
/// charges its quota and starts a flow for each admitted request.
class forward_handler : public http_handler {
public:
    explicit forward_handler(const forward_services& services) : services(services) {}

    void handle(http_request request, std::shared_ptr<exchange> answer) override;

    void set_route_table(std::shared_ptr<const route_table> current);

    /// The route table contains all configuration changes made before `as_of`.
    void handle_configuration_confirmed(monotonic_time as_of) { this->confirmed_at = as_of; }

    /// The endpoint will be reclaimed at a known time.
    void handle_endpoint_leaving(const endpoint_record& leaving);

    /// Ends the requests that were admitted before their prompt parts were put in quarantine.
    void handle_quarantine_started();

    [[nodiscard]] bool has_requests_at(const endpoint_id& endpoint) const;

    /// The process stops at `end`. Requests that may run only once and may take longer are refused
    /// from now on.
    void begin_stop(monotonic_time end) { this->stops_at = end; }

    /// Refuses all later requests.
    void stop_accepting() { this->is_accepting = false; }

    /// Ends the requests in flight, each with an answer unless a part of one has been sent.
    void end_requests();

    /// Whether requests that need a key can be served.
    [[nodiscard]] bool is_ready() const;

    /// Number of requests in flight.
    [[nodiscard]] std::size_t active_requests() const { return this->flows.size(); }

    [[nodiscard]] configuration_version version() const;

private:
    /// Whether the configuration was confirmed within the last `span`.
    [[nodiscard]] bool is_confirmed_within(duration span) const;
    /// Resolves the route, the service and the organisation of `request`; returns the refusal, if
    /// any.
    std::optional<forward_refusal> check_request(forwarded_request& request) const;
    /// Whether the request may run only once and may outlast the process.
    [[nodiscard]] bool may_outlast_process(const forwarded_request& request) const;
    std::optional<forward_refusal> authenticate(forwarded_request& request) const;
    /// Refuses requests with prompt parts that are in quarantine.
    std::optional<forward_refusal> check_quarantine(forwarded_request& request);
    std::optional<forward_refusal> charge_quota(forwarded_request& request);
    void refuse(const forwarded_request& request, const forward_refusal& refused);
    void start_flow(forwarded_request request);

    const forward_services& services;
    std::shared_ptr<const route_table> table;
    std::optional<monotonic_time> confirmed_at;
    std::optional<monotonic_time> stops_at;
    bool is_accepting = true;
    std::unordered_map<const forward_flow*, std::shared_ptr<forward_flow>> flows;
};

} // namespace eelgrassbend

#endif
