#include "eelgrassbend/serving/forward_front.h"

#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr int status_bad_request = 400;
static constexpr int status_unauthorized = 401;
static constexpr int status_not_found = 404;
static constexpr int status_too_many = 429;
static constexpr int status_unavailable = 503;
/// A node without a confirmed configuration expects one within about a read of the store.
static constexpr std::chrono::milliseconds unready_retry_after{300};
/// A caller of a node that stops finds another one at once.
static constexpr std::chrono::milliseconds stopping_retry_after{20};

void forward_front::set_table(std::shared_ptr<const route_table> current)
{
    this->table = std::move(current);
    this->services.quotas.configure(this->table->configuration().organisations,
                                    this->services.time.now());
}

configuration_version forward_front::version() const
{
    return this->table ? this->table->version() : configuration_version{};
}

void forward_front::endpoint_leaving(const endpoint_record& leaving)
{
    // A flow that ends leaves the list.
    const auto running = this->flows;
    for (const auto& [key, flow] : running) {
        flow->endpoint_leaving(leaving);
    }
}

bool forward_front::has_requests_at(const endpoint_id& endpoint) const
{
    return std::any_of(this->flows.begin(), this->flows.end(),
                       [&](const auto& entry) { return entry.second->is_at(endpoint); });
}

bool forward_front::is_ready() const
{
    return this->table != nullptr && this->confirmed &&
           this->services.time.now() - *this->confirmed <
               this->services.settings.configuration_staleness;
}

static forward_refusal refused_with(int status, errc code, const char* step, std::string detail,
                                    std::optional<duration> retry_after = std::nullopt)
{
    return {status, make_error(code, step, {}, std::move(detail)), retry_after, false};
}

void forward_front::handle(http_request request, std::shared_ptr<exchange> answer)
{
    forwarded_request admitted;
    admitted.table = this->table;
    admitted.facts = this->services.protocol.read_request(request);
    admitted.http = std::move(request);
    admitted.answer = std::move(answer);
    admitted.received = this->services.time.now();
    auto refused = this->allow(admitted);
    if (!refused) {
        refused = this->charge(admitted);
    }
    if (refused) {
        this->refuse(admitted, *refused);
        return;
    }
    this->run(std::move(admitted));
}

std::optional<forward_refusal> forward_front::allow(forwarded_request& request) const
{
    if (!this->is_taking) {
        auto refused = refused_with(status_unavailable, errc::unavailable, "take request",
                                    "node is stopping", stopping_retry_after);
        refused.closes_connection = true;
        return refused;
    }
    if (!this->table) {
        return refused_with(status_unavailable, errc::unavailable, "take request",
                            "no configuration yet", unready_retry_after);
    }
    request.chosen = this->table->find_route(request.facts.host, request.http.path());
    if (request.chosen == nullptr) {
        return refused_with(status_not_found, errc::not_found, "find route",
                            "no route for host and path");
    }
    if (request.facts.id.value().empty()) {
        return refused_with(status_bad_request, errc::invalid_argument, "read request",
                            "no request id");
    }
    request.target = select_service(*request.chosen, random_unit(this->services.random));
    request.service = this->table->find_service(request.target);
    return this->identify(request);
}

// A key may have been removed by a configuration that has not arrived; only a confirmed one
// shows that it has not.
std::optional<forward_refusal> forward_front::identify(forwarded_request& request) const
{
    request.priority = request.chosen->priority;
    if (request.chosen->is_public || this->table->configuration().organisations.empty()) {
        return std::nullopt;
    }
    if (!this->is_ready()) {
        return refused_with(status_unavailable, errc::stale, "check key",
                            "configuration is not confirmed", unready_retry_after);
    }
    const auto* caller = this->table->find_organisation(request.facts.key);
    if (caller == nullptr) {
        return refused_with(status_unauthorized, errc::unauthenticated, "check key",
                            "key is unknown");
    }
    request.caller = caller->id;
    request.priority = caller->priority.value_or(request.priority);
    request.units = 1.0;
    if (caller->counts_tokens) {
        request.units =
            request.facts.names_tokens
                ? static_cast<double>(request.facts.prompt_tokens + request.facts.most_output)
                : caller->default_tokens;
    }
    return std::nullopt;
}

std::optional<forward_refusal> forward_front::charge(forwarded_request& request)
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
                        std::clamp(*wait, settings.least_retry_after, settings.most_retry_after));
}

void forward_front::refuse(const forwarded_request& request, const forward_refusal& refused)
{
    this->services.log.write(
        log_level::info, "refused",
        {{"request", request.facts.id.value()},
         {"status", refused.status},
         {"error", refused.reason.to_string()},
         {"organisation", request.caller.value_or(organisation_id{}).value()},
         {"configuration", this->version().value()},
         {"configuration_age_ms",
          this->confirmed ? whole_milliseconds(request.received - *this->confirmed) : -1}});
    this->services.counters.count("eelgrassbend_refusals_total",
                                  {{"status", std::to_string(refused.status)}}, 1);
    request.answer->respond(refused.status, this->services.protocol.refusal_headers(refused), {},
                            nullptr);
}

void forward_front::run(forwarded_request request)
{
    auto flow =
        std::make_shared<forward_flow>(this->services, std::move(request),
                                       [this](forward_flow& ended) { this->flows.erase(&ended); });
    this->flows.emplace(flow.get(), flow);
    flow->begin();
}

} // namespace eelgrassbend
