#include "eelgrassbend/serving/forward_handler.h"

#include "eelgrassbend/admission/admission_controller.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/quarantine/part_quarantine.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr int status_bad_request = 400;
static constexpr int status_unauthorized = 401;
static constexpr int status_not_found = 404;
static constexpr int status_too_many = 429;
static constexpr int status_unavailable = 503;
/// A node without a confirmed configuration usually confirms one within a single read of the store.
static constexpr std::chrono::milliseconds unready_retry_after{300};
/// A caller of a stopping node can reach another node immediately.
static constexpr std::chrono::milliseconds stopping_retry_after{20};

void forward_handler::set_route_table(std::shared_ptr<const route_table> current)
{
    this->table = std::move(current);
    this->services.quotas.configure(this->table->configuration().organisations,
                                    this->services.time.now());
    this->services.admission.configure(*this->table);
}

configuration_version forward_handler::version() const
{
    return this->table ? this->table->version() : configuration_version{};
}

void forward_handler::handle_endpoint_leaving(const endpoint_record& leaving)
{
    // Flows that end erase themselves from `flows`, so iterate over a copy.
    const auto running = this->flows;
    for (const auto& [key, flow] : running) {
        flow->handle_endpoint_leaving(leaving);
    }
}

void forward_handler::handle_quarantine_started()
{
    const auto running = this->flows;
    for (const auto& [key, flow] : running) {
        flow->handle_quarantine_started();
    }
}

void forward_handler::end_requests()
{
    const auto running = this->flows;
    for (const auto& [key, flow] : running) {
        flow->handle_stop();
    }
}

bool forward_handler::has_requests_at(const endpoint_id& endpoint) const
{
    return std::any_of(this->flows.begin(), this->flows.end(),
                       [&](const auto& entry) { return entry.second->has_attempt_at(endpoint); });
}

bool forward_handler::is_ready() const
{
    return this->is_confirmed_within(this->services.settings.configuration_staleness);
}

bool forward_handler::is_confirmed_within(duration span) const
{
    return this->table != nullptr && this->confirmed_at &&
           this->services.time.now() - *this->confirmed_at < span;
}

static forward_refusal refused_with(int status, errc code, const char* step, std::string detail,
                                    std::optional<duration> retry_after = std::nullopt)
{
    return {status, make_error(code, step, {}, std::move(detail)), retry_after, false};
}

void forward_handler::handle(http_request request, std::shared_ptr<exchange> answer)
{
    forwarded_request admitted;
    admitted.table = this->table;
    admitted.fields = this->services.protocol.parse_request(request);
    admitted.http = std::move(request);
    admitted.answer = std::move(answer);
    admitted.received_at = this->services.time.now();
    auto refused = this->check_request(admitted);
    if (!refused) {
        refused = this->check_quarantine(admitted);
    }
    if (!refused) {
        refused = this->charge_quota(admitted);
    }
    if (refused) {
        this->refuse(admitted, *refused);
        return;
    }
    this->start_flow(std::move(admitted));
}

static forward_refusal refused_by_stopping_node()
{
    auto refused = refused_with(status_unavailable, errc::unavailable, "take request",
                                "node is stopping", stopping_retry_after);
    refused.closes_connection = true;
    return refused;
}

bool forward_handler::may_outlast_process(const forwarded_request& request) const
{
    return this->stops_at && !request.matched_route->is_repeatable() &&
           deadline_of(request) > *this->stops_at;
}

std::optional<forward_refusal> forward_handler::check_request(forwarded_request& request) const
{
    if (!this->is_accepting) {
        return refused_by_stopping_node();
    }
    if (!this->table) {
        return refused_with(status_unavailable, errc::unavailable, "take request",
                            "no configuration yet", unready_retry_after);
    }
    request.matched_route = this->table->find_route(request.fields.host, request.http.path());
    // A caller does not retry after 404, so the status is sent only if no newer configuration can
    // have added the route.
    if (request.matched_route == nullptr &&
        !this->is_confirmed_within(this->services.settings.missing_route_staleness)) {
        return refused_with(status_unavailable, errc::stale, "find route",
                            "configuration is not confirmed", unready_retry_after);
    }
    if (request.matched_route == nullptr) {
        return refused_with(status_not_found, errc::not_found, "find route",
                            "no route for host and path");
    }
    if (request.fields.id.value().empty()) {
        return refused_with(status_bad_request, errc::invalid_argument, "read request",
                            "no request id");
    }
    if (this->may_outlast_process(request)) {
        return refused_by_stopping_node();
    }
    request.target = select_service(*request.matched_route, random_unit(this->services.random));
    request.service = this->table->find_service(request.target);
    return this->authenticate(request);
}

// A key may have been removed by a configuration not yet received; only a confirmed configuration
// proves that it is still valid.
std::optional<forward_refusal> forward_handler::authenticate(forwarded_request& request) const
{
    request.priority = request.matched_route->priority;
    if (request.matched_route->is_public || this->table->configuration().organisations.empty()) {
        return std::nullopt;
    }
    if (!this->is_ready()) {
        return refused_with(status_unavailable, errc::stale, "check key",
                            "configuration is not confirmed", unready_retry_after);
    }
    const auto* caller = this->table->find_organisation(request.fields.key);
    if (caller == nullptr) {
        return refused_with(status_unauthorized, errc::unauthenticated, "check key",
                            "key is unknown");
    }
    request.caller = caller->id;
    request.priority = caller->priority.value_or(request.priority);
    request.units = 1.0;
    if (caller->counts_tokens) {
        request.units = request.fields.has_token_counts
                            ? static_cast<double>(request.fields.prompt_tokens +
                                                  request.fields.max_output_tokens)
                            : caller->default_tokens;
    }
    return std::nullopt;
}

std::optional<forward_refusal> forward_handler::check_quarantine(forwarded_request& request)
{
    request.shared_parts = shared_part_keys(request.target, request.fields.parts);
    const auto wait =
        this->services.quarantine.admit(request.shared_parts, this->services.time.now());
    if (!wait) {
        return std::nullopt;
    }
    this->services.counters.count("eelgrassbend_quarantine_refusals_total",
                                  {{"route", request.matched_route->name}}, 1);
    return refused_with(status_unavailable, errc::unavailable, "check prompt",
                        "prompt has parts that crashed endpoints", wait);
}

std::optional<forward_refusal> forward_handler::charge_quota(forwarded_request& request)
{
    this->services.retries.earn(request.target);
    if (!request.caller) {
        return std::nullopt;
    }
    const auto wait =
        this->services.quotas.admit(*request.caller, request.units, this->services.time.now());
    if (!wait) {
        return std::nullopt;
    }
    const auto& settings = this->services.settings;
    return refused_with(status_too_many, errc::rate_limited, "hold quota",
                        "organisation is over its quota",
                        std::clamp(*wait, settings.min_retry_after, settings.max_retry_after));
}

void forward_handler::refuse(const forwarded_request& request, const forward_refusal& refused)
{
    this->services.log.write(
        log_level::info, "refused",
        {{"request", request.fields.id.value()},
         {"status", refused.status},
         {"error", refused.reason.to_string()},
         {"organisation", request.caller.value_or(organisation_id{}).value()},
         {"configuration", this->version().value()},
         {"configuration_age_ms",
          this->confirmed_at ? whole_milliseconds(request.received_at - *this->confirmed_at)
                             : -1}});
    this->services.counters.count("eelgrassbend_refusals_total",
                                  {{"status", std::to_string(refused.status)}}, 1);
    request.answer->respond(refused.status, this->services.protocol.refusal_headers(refused), {},
                            nullptr);
}

void forward_handler::start_flow(forwarded_request request)
{
    auto flow =
        std::make_shared<forward_flow>(this->services, std::move(request),
                                       [this](forward_flow& ended) { this->flows.erase(&ended); });
    this->flows.emplace(flow.get(), flow);
    flow->begin();
}

} // namespace eelgrassbend
