#ifndef EELGRASSBEND_SERVING_FORWARD_FRONT_H
#define EELGRASSBEND_SERVING_FORWARD_FRONT_H

#include "eelgrassbend/serving/forward_flow.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace eelgrassbend {

/// Answers callers whose requests are passed on as they are: finds the route and the organisation,
/// holds the quotas, and starts a flow for what is admitted.
class forward_front : public http_handler {
public:
    explicit forward_front(const forward_services& services) : services(services) {}

    void handle(http_request request, std::shared_ptr<exchange> answer) override;

    void set_table(std::shared_ptr<const route_table> current);

    /// All changes of the configuration made before `as_of` are in the table.
    void configuration_confirmed(monotonic_time as_of) { this->confirmed = as_of; }

    /// The endpoint will be taken away at a known time.
    void endpoint_leaving(const endpoint_record& leaving);

    [[nodiscard]] bool has_requests_at(const endpoint_id& endpoint) const;

    /// Later requests are refused.
    void stop_taking() { this->is_taking = false; }

    /// Whether requests with a key can be served.
    [[nodiscard]] bool is_ready() const;

    /// Requests under way.
    [[nodiscard]] std::size_t active() const { return this->flows.size(); }

    [[nodiscard]] configuration_version version() const;

private:
    /// Finds out who asks for what; an answer other than a request is the refusal.
    std::optional<forward_refusal> allow(forwarded_request& request) const;
    std::optional<forward_refusal> identify(forwarded_request& request) const;
    std::optional<forward_refusal> charge(forwarded_request& request);
    void refuse(const forwarded_request& request, const forward_refusal& refused);
    void run(forwarded_request request);

    const forward_services& services;
    std::shared_ptr<const route_table> table;
    std::optional<monotonic_time> confirmed;
    bool is_taking = true;
    std::unordered_map<const forward_flow*, std::shared_ptr<forward_flow>> flows;
};

} // namespace eelgrassbend

#endif
