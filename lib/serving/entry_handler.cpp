#include "eelgrassbend/serving/entry_handler.h"

#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/routing/limiter.h"
#include "eelgrassbend/serving/model_flow.h"
#include "eelgrassbend/serving/plain_flow.h"
#include "eelgrassbend/serving/stream_store.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/uuid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace eelgrassbend {

static constexpr std::string_view services_prefix = "/services/";
static constexpr int status_ok = 200;

entry_handler::entry_handler(const serving_services& services, const entry_directory& entries,
                             const node_status& status)
    : services(services), entry_hosts(entries), status(status)
{
}

static void respond_text(exchange& answer, int status, const char* type, std::string body)
{
    answer.respond(status, {{"Content-Type", type}}, std::move(body), nullptr);
}

static refusal not_run(error reason, std::optional<duration> retry_after = std::nullopt)
{
    const auto status = http_status_for(reason);
    return {status, request_outcome::not_run, std::move(reason), retry_after};
}

void entry_handler::handle(http_request request, std::shared_ptr<exchange> answer)
{
    const auto path = request.path();
    if (path.starts_with(services_prefix)) {
        this->serve_plain(std::move(request), std::move(answer));
        return;
    }
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        if (request.method != "POST") {
            refusal refused = not_run(make_error(errc::invalid_argument, "route request", {},
                                                 "only POST is answered here"));
            refused.status = 405;
            refuse(*answer, refused);
            return;
        }
        const auto kind = path == "/v1/completions" ? completion_kind::text : completion_kind::chat;
        this->serve_completion(kind, std::move(request), std::move(answer));
        return;
    }
    if (path == "/v1/entries") {
        this->respond_entries(request, *answer);
        return;
    }
    if (path == "/v1/status") {
        respond_text(*answer, status_ok, "application/json", this->status.status_json());
        return;
    }
    if (path == "/metrics") {
        respond_text(*answer, status_ok, "text/plain; version=0.0.4", this->status.metrics_text());
        return;
    }
    if (path == "/healthz") {
        respond_text(*answer, status_ok, "text/plain", "ok\n");
        return;
    }
    if (path == "/readyz") {
        this->respond_ready(*answer);
        return;
    }
    refuse(*answer, not_run(make_error(errc::not_found, "route request", {}, path)));
}

void entry_handler::respond_ready(exchange& answer) const
{
    auto reason = this->status.cannot_serve_reason();
    if (reason.empty() && this->status.is_stopping()) {
        reason = "stopping";
    }
    if (reason.empty() && !this->services.bundles.fresh()) {
        reason = "the view of the bundle is too old";
    }
    if (reason.empty()) {
        respond_text(answer, status_ok, "text/plain", "ready\n");
        return;
    }
    respond_text(answer, 503, "text/plain", reason + "\n");
}

void entry_handler::respond_entries(const http_request& request, exchange& answer) const
{
    const auto chosen = this->entry_hosts.entries(organisation_id{request.query("organisation")},
                                                  service_id{request.query("service")});
    respond_text(answer, status_ok, "application/json", to_json(chosen).dump() + "\n");
}

static std::string bearer_key(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = request.header("Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string{};
}

result<admitted_request> entry_handler::authenticate(http_request request,
                                                     std::shared_ptr<exchange> answer) const
{
    if (const auto reason = this->status.cannot_serve_reason(); !reason.empty()) {
        return make_error(errc::unavailable, "accept request", this->services.settings.node.value(),
                          reason);
    }
    if (!this->services.bundles.fresh()) {
        return make_error(errc::stale, "accept request", this->services.settings.node.value(),
                          "the view of the bundle is too old");
    }
    admitted_request admitted;
    admitted.rules = this->services.bundles.current();
    const auto key = bearer_key(request);
    admitted.organisation = key.empty() ? nullptr : admitted.rules->find_key(sha256_hex(key));
    if (admitted.organisation == nullptr) {
        return make_error(errc::unauthenticated, "authenticate", {},
                          "the bearer key is missing or unknown");
    }
    const auto unique = make_uuid_v7(this->services.time.wall_now(), this->services.random);
    admitted.id = request_id{this->services.settings.node.value() + "-" + unique};
    admitted.http = std::move(request);
    admitted.answer = std::move(answer);
    return admitted;
}

static const service_spec* service_named(const bundle& rules, const std::string& name,
                                         service_kind kind)
{
    const auto found = std::find_if(
        rules.services.begin(), rules.services.end(), [&](const service_spec& service) {
            const bool named = service.id.value() == name ||
                               (kind == service_kind::model && service.model.value() == name);
            return service.kind == kind && named;
        });
    return found == rules.services.end() ? nullptr : &*found;
}

result<void> entry_handler::resolve_service(admitted_request& admitted, const std::string& name,
                                            service_kind kind) const
{
    admitted.service = service_named(*admitted.rules, name, kind);
    if (admitted.service == nullptr) {
        return make_error(errc::not_found, "find service", name, "the bundle has no such service");
    }
    const auto& allowed = admitted.organisation->services;
    if (std::find(allowed.begin(), allowed.end(), admitted.service->id) == allowed.end()) {
        return make_error(errc::forbidden, "find service", name,
                          "the organisation may not use this service");
    }
    return boost::outcome_v2::success();
}

bool entry_handler::admit(const admitted_request& admitted, money expected_cost)
{
    const auto refused =
        this->services.limits.admit(admitted.organisation->id, admitted.id, expected_cost);
    if (!refused) {
        return true;
    }
    this->services.counters.count(
        "eelgrassbend_limit_refusals_total",
        {{"organisation", admitted.organisation->id.value()}, {"limit", refused->limit}}, 1);
    this->services.log.write(log_level::info, "limit",
                             {{"request", admitted.id.value()},
                              {"organisation", admitted.organisation->id.value()},
                              {"limit", refused->limit}});
    refuse(
        *admitted.answer,
        not_run(make_error(errc::rate_limited, "admit request", admitted.organisation->id.value(),
                           "the organisation's " + refused->limit + " limit is reached"),
                refused->retry_after));
    return false;
}

// Ledger entries wait for the log in bounded memory; a request whose entry does not fit would not
// be billed.
bool entry_handler::refuse_unbillable(const admitted_request& admitted)
{
    if (this->services.usage_ledger.accepts_work()) {
        return false;
    }
    const refusal refused =
        not_run(make_error(errc::unavailable, "accept request",
                           this->services.settings.node.value(), "the ledger is full"),
                this->services.settings.refusal_retry_after);
    this->services.counters.count("eelgrassbend_ledger_refusals_total",
                                  {{"organisation", admitted.organisation->id.value()}}, 1);
    this->services.log.write(log_level::warning, "refuse",
                             {{"request", admitted.id.value()},
                              {"status", refused.status},
                              {"outcome", to_string(refused.outcome)},
                              {"error", refused.reason.to_string()}});
    refuse(*admitted.answer, refused);
    return true;
}

request_flow::ended_handler entry_handler::make_ended_handler()
{
    return [this](const request_id& id) { this->flows.erase(id.value()); };
}

void entry_handler::start_flow(std::shared_ptr<request_flow> flow, const request_id& id)
{
    this->flows.emplace(id.value(), flow);
    flow->begin();
}

void entry_handler::serve_completion(completion_kind kind, http_request request,
                                     std::shared_ptr<exchange> answer)
{
    const auto retry = this->services.settings.refusal_retry_after;
    auto admitted = this->authenticate(std::move(request), answer);
    if (!admitted) {
        refuse(*answer, not_run(admitted.error(), retry));
        return;
    }
    auto& accepted = admitted.value();
    auto parsed = parse_completion_request(kind, accepted.http.body);
    if (!parsed) {
        refuse(*answer, not_run(parsed.error()));
        return;
    }
    if (auto allowed = this->resolve_service(accepted, parsed.value().model, service_kind::model);
        !allowed) {
        refuse(*answer, not_run(allowed.error()));
        return;
    }
    if (const auto last_event = accepted.http.header("Last-Event-ID"); !last_event.empty()) {
        const auto position = parse_event_id(last_event);
        if (!position || !parsed.value().stream) {
            refuse(*answer, not_run(make_error(errc::invalid_argument, "resume stream", {},
                                               "Last-Event-ID must be the id of an event of a "
                                               "streamed answer, and 'stream' must be set")));
            return;
        }
        this->resume_stream(std::move(accepted), std::move(parsed.value()), *position);
        return;
    }
    auto estimate = estimate_size(parsed.value(), accepted.http.header("Eelgrassbend-Class"));
    const auto expected =
        compute_price(accepted.service->prices, estimate.prompt_tokens, estimate.expected_output);
    if (this->refuse_unbillable(accepted) || !this->admit(accepted, expected)) {
        return;
    }
    const auto id = accepted.id;
    this->start_flow(std::make_shared<model_flow>(this->services, std::move(accepted),
                                                  std::move(parsed.value()), std::move(estimate),
                                                  this->make_ended_handler()),
                     id);
}

void entry_handler::resume_stream(admitted_request admitted, completion_request completion,
                                  const event_position& last_seen)
{
    admitted.id = last_seen.request;
    const auto shared = std::make_shared<admitted_request>(std::move(admitted));
    this->services.streams.fetch(
        last_seen.request, [this, shared, completion = std::move(completion),
                            last_seen](result<stream_state> found) mutable {
            this->handle_stream_found(std::move(*shared), std::move(completion), last_seen,
                                      std::move(found));
        });
}

/// Whether the caller resumes a stream that it started itself, with the same body.
static bool is_same_stream(const stream_state& state, const admitted_request& admitted,
                           const completion_request& completion, std::uint64_t seen)
{
    return state.organisation == admitted.organisation->id &&
           state.service == admitted.service->id &&
           state.body_digest == sha256_hex(completion.body) && seen <= state.token_ends.size();
}

void entry_handler::handle_stream_found(admitted_request admitted, completion_request completion,
                                        const event_position& last_seen, result<stream_state> found)
{
    const auto refuse_unknown = [&](error reason) {
        const auto status = http_status_for(reason);
        refuse(*admitted.answer, {status, request_outcome::unknown, std::move(reason),
                                  this->services.settings.refusal_retry_after});
    };
    if (!found) {
        refuse_unknown(found.error());
        return;
    }
    if (!is_same_stream(found.value(), admitted, completion, last_seen.number)) {
        this->services.streams.insert(std::move(found.value()));
        refuse_unknown(make_error(errc::not_found, "resume stream", last_seen.request.value(),
                                  "the stream belongs to another request"));
        return;
    }
    if (!this->admit(admitted, money{0})) {
        this->services.streams.insert(std::move(found.value()));
        return;
    }
    this->services.log.write(log_level::info, "resume_stream",
                             {{"request", admitted.id.value()},
                              {"seen", last_seen.number},
                              {"emitted", found.value().token_ends.size()}});
    auto estimate = estimate_size(completion, admitted.http.header("Eelgrassbend-Class"));
    const auto id = admitted.id;
    auto flow =
        std::make_shared<model_flow>(this->services, std::move(admitted), std::move(completion),
                                     std::move(estimate), this->make_ended_handler());
    this->flows.emplace(id.value(), flow);
    flow->resume(std::move(found.value()), last_seen.number);
}

stream_fetch_answer entry_handler::release_stream(const request_id& request)
{
    const auto found = this->flows.find(request.value());
    if (found == this->flows.end()) {
        return {};
    }
    const auto flow = std::dynamic_pointer_cast<model_flow>(found->second);
    if (!flow || !flow->can_suspend()) {
        return {stream_fetch_result::busy, {}};
    }
    return {stream_fetch_result::found, flow->suspend()};
}

void entry_handler::hand_over_streams()
{
    const auto copy = this->flows;
    for (const auto& [id, running] : copy) {
        const auto flow = std::dynamic_pointer_cast<model_flow>(running);
        if (flow && flow->can_suspend()) {
            this->services.streams.hand_over(flow->suspend());
        }
    }
}

/// Splits "/services/<name>/<rest>" into name and rest; the rest includes its leading slash and
/// query.
static std::pair<std::string, std::string> split_target(const std::string& target)
{
    const auto rest = target.substr(services_prefix.size());
    const auto end = rest.find_first_of("/?");
    if (end == std::string::npos) {
        return {rest, "/"};
    }
    auto path = rest.substr(end);
    return {rest.substr(0, end), path.starts_with('/') ? path : "/" + path};
}

void entry_handler::serve_plain(http_request request, std::shared_ptr<exchange> answer)
{
    const auto retry = this->services.settings.refusal_retry_after;
    auto admitted = this->authenticate(std::move(request), answer);
    if (!admitted) {
        refuse(*answer, not_run(admitted.error(), retry));
        return;
    }
    auto& accepted = admitted.value();
    auto [name, path] = split_target(accepted.http.target);
    if (auto allowed = this->resolve_service(accepted, name, service_kind::plain); !allowed) {
        refuse(*answer, not_run(allowed.error()));
        return;
    }
    const auto& repeatable_methods = accepted.service->repeatable_methods;
    const bool can_repeat = std::find(repeatable_methods.begin(), repeatable_methods.end(),
                                      accepted.http.method) != repeatable_methods.end();
    const idempotency_key key{accepted.http.header("Idempotency-Key")};
    if (!can_repeat && !uuid_v7_time(key.value())) {
        refuse(*answer, not_run(make_error(errc::invalid_argument, "claim idempotency key", name,
                                           "the Idempotency-Key header must be a UUIDv7")));
        return;
    }
    if (this->refuse_unbillable(accepted) ||
        !this->admit(accepted, accepted.service->prices.per_request)) {
        return;
    }
    const auto id = accepted.id;
    this->start_flow(std::make_shared<plain_flow>(this->services, std::move(accepted),
                                                  std::move(path), can_repeat, key,
                                                  this->make_ended_handler()),
                     id);
}

void entry_handler::handle_endpoint_changed(const endpoint_info& changed)
{
    const auto copy = this->flows;
    for (const auto& [id, flow] : copy) {
        flow->handle_endpoint_changed(changed);
    }
}

} // namespace eelgrassbend
