#include "eelgrassbend/serving/plain_flow.h"

#include "eelgrassbend/support/hash.h"

#include <boost/algorithm/string/predicate.hpp>

#include <utility>

namespace eelgrassbend {

/// Longer answers are recorded as a digest only.
static constexpr std::size_t max_recorded_body_bytes = 16 * 1024;
static constexpr int first_server_error = 500;

plain_flow::plain_flow(const serving_services& services, admitted_request admitted,
                       std::string path, bool can_repeat, idempotency_key key,
                       ended_handler on_ended)
    : request_flow(services, std::move(admitted), std::move(on_ended)),
      path(std::move(path)),
      can_repeat(can_repeat),
      key(std::move(key))
{
}

void plain_flow::begin()
{
    this->arm_deadline();
    if (this->can_repeat) {
        this->start_attempt();
        return;
    }
    const auto scope =
        this->admitted.organisation->id.value() + "/" + this->admitted.service->id.value();
    auto self = std::static_pointer_cast<plain_flow>(this->shared_from_this());
    this->services.claims.claim(
        scope, this->key, this->admitted.id,
        [self](const claim_answer& answer) { self->handle_claim_answer(answer); });
}

void plain_flow::handle_claim_answer(const claim_answer& answer)
{
    this->is_claim_granted = answer.state == claim_state::granted;
    if (!this->is_open()) {
        this->handle_closing();
        return;
    }
    const auto peer = this->key.value();
    switch (answer.state) {
    case claim_state::granted:
        this->start_attempt();
        return;
    case claim_state::finished:
        this->replay(answer.outcome);
        return;
    case claim_state::running:
        this->refuse_request(make_error(errc::conflict, "claim idempotency key", peer,
                                        "another request with this key is under way"),
                             request_outcome::unknown, std::chrono::seconds{1});
        return;
    case claim_state::unknown:
        this->refuse_request(make_error(errc::outcome_unknown, "claim idempotency key", peer,
                                        "an earlier request with this key may have run"),
                             request_outcome::unknown);
        return;
    case claim_state::refused:
        this->refuse_request(answer.reason, request_outcome::not_run,
                             this->services.settings.refusal_retry_after);
        return;
    }
}

void plain_flow::replay(const recorded_outcome& outcome)
{
    auto self = std::static_pointer_cast<plain_flow>(this->shared_from_this());
    const auto delivered = [self](const result<void>&) { self->close("replayed"); };
    header_list headers{{"Eelgrassbend-Outcome", "ran"},
                        {"Eelgrassbend-Replayed", "true"},
                        {"Eelgrassbend-Answer-Digest", outcome.digest}};
    if (outcome.body.empty()) {
        // The answer was too long to record: the response states that the request ran, and its
        // status.
        headers.emplace_back("Eelgrassbend-Recorded-Status", std::to_string(outcome.status));
        this->admitted.answer->respond(204, std::move(headers), {}, delivered);
        return;
    }
    headers.emplace_back("Content-Type", outcome.content_type);
    this->admitted.answer->respond(outcome.status, std::move(headers), outcome.body, delivered);
}

route_request plain_flow::make_route_request() const
{
    route_request query;
    query.request = this->admitted.id;
    query.organisation = this->admitted.organisation->id;
    query.service = this->admitted.service->id;
    query.size = request_class::quick;
    query.priority = this->admitted.organisation->priority;
    query.idempotent = this->can_repeat;
    query.deadline = this->accepted_at + this->admitted.service->request_deadline;
    return query;
}

result<void> plain_flow::check_dispatch_allowed()
{
    if (this->can_repeat || this->services.claims.dispatch_allowed(this->admitted.id)) {
        return boost::outcome_v2::success();
    }
    return make_error(errc::stale, "dispatch", this->admitted.service->id.value(),
                      "the claim is too old to use");
}

void plain_flow::handle_attempt_not_sent()
{
    if (this->is_claim_granted) {
        this->services.claims.not_dispatched(this->admitted.id);
    }
}

/// Whether a header of the caller is forwarded to the service.
static bool is_forwarded(const std::string& name)
{
    for (const char* dropped : {"Host", "Connection", "Authorization", "Content-Length",
                                "Transfer-Encoding", "Keep-Alive", "TE", "Trailer", "Upgrade",
                                "Expect", "X-Attempt-Id", "X-Request-Id", "Idempotency-Key"}) {
        if (boost::algorithm::iequals(name, dropped)) {
            return false;
        }
    }
    return true;
}

endpoint_request plain_flow::make_attempt_request()
{
    this->status = 0;
    this->content_type.clear();
    this->answer_body.clear();
    endpoint_request request;
    request.method = this->admitted.http.method;
    request.target = this->path;
    for (const auto& header : this->admitted.http.headers) {
        if (is_forwarded(header.first)) {
            request.headers.push_back(header);
        }
    }
    request.headers.emplace_back("X-Request-Id", this->admitted.id.value());
    request.headers.emplace_back("X-Organisation", this->admitted.organisation->id.value());
    if (!this->key.value().empty()) {
        request.headers.emplace_back("Idempotency-Key", this->key.value());
    }
    request.body = this->admitted.http.body;
    request.needs_new_connection = !this->can_repeat;
    return request;
}

void plain_flow::on_head(int status_code, const header_list& headers)
{
    this->status = status_code;
    for (const auto& [name, value] : headers) {
        if (boost::algorithm::iequals(name, "Content-Type")) {
            this->content_type = value;
        }
    }
}

void plain_flow::on_body(std::string_view bytes)
{
    this->answer_body += bytes;
    this->record_progress(token_count{1});
}

result<void> plain_flow::handle_answer_complete()
{
    const auto digest = sha256_hex(this->answer_body);
    if (this->is_claim_granted) {
        recorded_outcome outcome{this->status, this->content_type, {}, digest};
        if (this->answer_body.size() <= max_recorded_body_bytes) {
            outcome.body = this->answer_body;
        }
        this->is_outcome_recorded = true;
        this->services.claims.finish(this->admitted.id, std::move(outcome),
                                     [](const result<void>&) {});
    }
    auto self = std::static_pointer_cast<plain_flow>(this->shared_from_this());
    if (this->status >= first_server_error) {
        // The service failed: its answer is forwarded and the request is not billed.
        this->cancel_attempt(attempt_end::failed);
        this->deliver([self](const result<void>&) { self->close("service_error"); });
        return boost::outcome_v2::success();
    }
    this->record_and_deliver(
        this->make_ledger_line(token_count{0}, token_count{0}, digest),
        [self](exchange::delivered_handler delivered) { self->deliver(std::move(delivered)); });
    return boost::outcome_v2::success();
}

void plain_flow::deliver(exchange::delivered_handler delivered)
{
    header_list headers{{"Eelgrassbend-Request", this->admitted.id.value()},
                        {"Eelgrassbend-Outcome", "ran"}};
    if (!this->content_type.empty()) {
        headers.emplace_back("Content-Type", this->content_type);
    }
    this->admitted.answer->respond(this->status, std::move(headers), this->answer_body,
                                   std::move(delivered));
}

void plain_flow::handle_closing()
{
    if (!std::exchange(this->is_claim_granted, false) || this->is_outcome_recorded) {
        return;
    }
    if (this->may_have_run()) {
        this->services.claims.abandon(this->admitted.id);
        return;
    }
    this->services.claims.release(this->admitted.id, [](const result<void>&) {});
}

} // namespace eelgrassbend
