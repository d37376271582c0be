#include "eelgrassbend/serving/model_flow.h"

#include "eelgrassbend/serving/stream_store.h"
#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

/// Maximum tokens of a quick request.
static constexpr std::int64_t max_quick_tokens = 64;
/// Maximum tokens of a normal request; longer ones are long-running.
static constexpr std::int64_t max_normal_tokens = 512;

static request_class classify_request(const completion_request& request, std::string_view declared)
{
    if (declared == "quick") {
        return request_class::quick;
    }
    if (declared == "long") {
        return request_class::long_running;
    }
    if (declared == "normal") {
        return request_class::normal;
    }
    if (request.max_tokens <= max_quick_tokens) {
        return request_class::quick;
    }
    return request.max_tokens > max_normal_tokens ? request_class::long_running
                                                  : request_class::normal;
}

size_estimate estimate_size(const completion_request& request, std::string_view declared)
{
    size_estimate estimate;
    const auto tokens = split_tokens(request.prompt);
    estimate.size = classify_request(request, declared);
    estimate.prompt_tokens = token_count{static_cast<std::int64_t>(tokens.size())};
    estimate.expected_output = token_count{request.max_tokens};
    estimate.prefix = prefix_blocks(tokens);
    return estimate;
}

model_flow::model_flow(const serving_services& services, admitted_request admitted,
                       completion_request completion, size_estimate estimate,
                       ended_handler on_ended)
    : request_flow(services, std::move(admitted), std::move(on_ended)),
      completion(std::move(completion)),
      estimate(std::move(estimate))
{
}

void model_flow::begin()
{
    this->arm_deadline();
    this->watch_caller();
    this->start_attempt();
}

// A disconnected caller may resume the stream at this or another entry node, so the stream's state
// is stored.
void model_flow::watch_caller()
{
    std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->admitted.answer->on_caller_disconnected([weak] {
        const auto self = std::static_pointer_cast<model_flow>(weak.lock());
        if (!self) {
            return;
        }
        if (self->can_suspend()) {
            self->services.streams.insert(self->suspend());
            return;
        }
        self->close("gone");
    });
}

bool model_flow::can_suspend() const
{
    return this->completion.stream && this->is_open() && !this->is_delivering();
}

stream_state model_flow::state() const
{
    stream_state state;
    state.request = this->admitted.id;
    state.organisation = this->admitted.organisation->id;
    state.service = this->admitted.service->id;
    state.body_digest = sha256_hex(this->completion.body);
    state.text = this->emitted.text;
    state.token_ends = this->token_ends;
    state.attempts = static_cast<std::uint32_t>(this->attempts_made());
    state.accepted_at = this->accepted_wall_time;
    state.version = this->admitted.rules->version;
    return state;
}

stream_state model_flow::suspend()
{
    auto suspended = this->state();
    auto self = this->shared_from_this();
    this->close("suspended");
    this->admitted.answer->abort();
    return suspended;
}

void model_flow::handle_undelivered()
{
    if (!this->completion.stream) {
        return;
    }
    auto whole = this->state();
    whole.finish_reason = this->finish_reason;
    whole.prompt_tokens = token_count{this->usage.prompt_tokens};
    whole.cached_tokens = token_count{this->usage.cached_tokens};
    whole.attempt = this->attempt;
    whole.endpoint = this->target.id;
    this->services.streams.insert(std::move(whole));
}

void model_flow::resume(stream_state state, std::uint64_t seen)
{
    this->arm_deadline();
    this->continue_from(static_cast<int>(state.attempts), state.accepted_at);
    this->emitted = {std::move(state.text), static_cast<std::int64_t>(state.token_ends.size())};
    this->token_ends = std::move(state.token_ends);
    this->watch_caller();
    this->start_stream();
    for (auto index = static_cast<std::size_t>(seen); index < this->token_ends.size(); ++index) {
        this->send_token(index);
    }
    if (state.finish_reason.empty()) {
        this->start_attempt();
        return;
    }
    this->finish_reason = state.finish_reason;
    this->usage = {state.prompt_tokens.value(), this->emitted.tokens, state.cached_tokens.value()};
    this->attempt = state.attempt;
    this->target.id = state.endpoint;
    this->bill_whole_answer();
}

route_request model_flow::make_route_request() const
{
    route_request query;
    query.request = this->admitted.id;
    query.organisation = this->admitted.organisation->id;
    query.service = this->admitted.service->id;
    query.size = this->estimate.size;
    query.priority = this->admitted.organisation->priority;
    query.prompt_tokens = this->estimate.prompt_tokens + token_count{this->emitted.tokens};
    query.expected_output = this->estimate.expected_output - token_count{this->emitted.tokens};
    query.prefix = this->estimate.prefix;
    query.deadline = this->accepted_at + this->admitted.service->request_deadline;
    return query;
}

/// Engines serve higher numbers first; the request class takes precedence over the organisation's
/// priority.
static std::string engine_priority(request_class size, std::int32_t organisation_priority)
{
    constexpr std::int32_t class_weight = 1000;
    const auto rank = 2 - static_cast<std::int32_t>(size);
    return std::to_string(rank * class_weight + organisation_priority);
}

void model_flow::handle_attempt_replaced()
{
    this->events = sse_parser{};
    this->finish_reason.clear();
    this->is_end_received = false;
    this->status = 0;
}

endpoint_request model_flow::make_attempt_request()
{
    this->handle_attempt_replaced();
    return this->make_hedge_request();
}

endpoint_request model_flow::make_hedge_request()
{
    endpoint_request request;
    request.method = "POST";
    request.target =
        this->completion.kind == completion_kind::chat ? "/v1/chat/completions" : "/v1/completions";
    const auto deadline = this->accepted_at + this->admitted.service->request_deadline;
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->services.time.now());
    request.headers = {
        {"Content-Type", "application/json"},
        {"X-Request-Id", this->admitted.id.value()},
        {"X-Priority", engine_priority(this->estimate.size, this->admitted.organisation->priority)},
        {"X-Deadline-Ms", std::to_string(time_left.count())}};
    request.body =
        format_engine_body(this->completion, this->admitted.service->model, this->emitted);
    return request;
}

void model_flow::on_head(int status_code, const header_list&)
{
    constexpr int ok = 200;
    constexpr int refused = 503;
    this->status = status_code;
    if (status_code == ok) {
        return;
    }
    // An engine that answers 503 has not started the request; for other statuses this is unknown.
    this->handle_attempt_failure(
        make_error(errc::unavailable, "read engine answer", this->target.id.value(),
                   "status " + std::to_string(status_code)),
        status_code == refused ? dispatch_state::not_sent : dispatch_state::maybe_sent);
}

void model_flow::on_body(std::string_view bytes)
{
    auto self = this->shared_from_this();
    auto events = this->events.feed(bytes);
    if (!events) {
        this->fail_content(errc::invalid_argument, events.error().detail);
        return;
    }
    const auto current = this->attempt;
    for (const auto& data : events.value()) {
        this->handle_event(data);
        if (!this->is_open() || this->attempt != current) {
            return;
        }
    }
}

result<bool> model_flow::has_event(const attempt_id& attempt, std::string_view bytes) const
{
    sse_parser parser;
    const auto events = parser.feed(bytes);
    if (!events) {
        return events.error();
    }
    if (events.value().empty()) {
        return false;
    }
    const auto event = parse_completion_event(events.value().front());
    if (!event) {
        return event.error();
    }
    if (event.value().id != attempt.value()) {
        return make_error(errc::mismatched, "read engine answer", {},
                          "event is for another attempt");
    }
    return true;
}

void model_flow::handle_event(const std::string& data)
{
    if (data == "[DONE]") {
        this->is_end_received = true;
        return;
    }
    auto event = parse_completion_event(data);
    if (!event) {
        this->fail_content(errc::invalid_argument, event.error().detail);
        return;
    }
    if (event.value().id != this->attempt.value()) {
        this->fail_content(errc::mismatched, "event is for another attempt");
        return;
    }
    if (event.value().usage) {
        this->usage = *event.value().usage;
        this->services.routes.on_usage(this->attempt, token_count{this->usage.prompt_tokens},
                                       token_count{this->usage.cached_tokens});
    }
    if (!event.value().finish_reason.empty()) {
        this->finish_reason = event.value().finish_reason;
        return;
    }
    this->emit(event.value().text);
}

void model_flow::start_stream()
{
    if (std::exchange(this->answer_started, true)) {
        return;
    }
    this->admitted.answer->start(200, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-store"},
                                       {"Eelgrassbend-Request", this->admitted.id.value()}});
}

static std::string event_id(const request_id& request, std::int64_t number)
{
    return request.value() + ":" + std::to_string(number);
}

void model_flow::emit(const std::string& text)
{
    this->emitted.text += text;
    ++this->emitted.tokens;
    this->token_ends.push_back(static_cast<std::uint32_t>(this->emitted.text.size()));
    this->record_progress(token_count{this->emitted.tokens});
    if (!this->completion.stream) {
        return;
    }
    this->start_stream();
    this->send_token(this->token_ends.size() - 1);
}

void model_flow::send_token(std::size_t index)
{
    const std::size_t begin = index == 0 ? 0 : this->token_ends[index - 1];
    const auto text = this->emitted.text.substr(begin, this->token_ends[index] - begin);
    const auto chunk =
        format_token_chunk(this->completion.kind, this->admitted.id, this->completion.model, text);
    const auto number = static_cast<std::int64_t>(index) + 1;
    this->admitted.answer->send(format_sse(event_id(this->admitted.id, number), chunk));
}

void model_flow::fail_content(errc code, const std::string& detail)
{
    this->handle_attempt_failure(
        make_error(code, "read engine answer", this->target.id.value(), detail),
        dispatch_state::maybe_sent);
}

result<void> model_flow::handle_answer_complete()
{
    const auto incomplete = [this](const char* detail) {
        return make_error(errc::truncated, "read engine answer", this->target.id.value(), detail);
    };
    if (!this->is_end_received || this->finish_reason.empty()) {
        return incomplete("the end of the answer is missing");
    }
    if (this->usage.completion_tokens != this->emitted.tokens) {
        return incomplete("tokens are missing");
    }
    this->bill_whole_answer();
    return boost::outcome_v2::success();
}

void model_flow::bill_whole_answer()
{
    auto line =
        this->make_ledger_line(token_count{this->usage.prompt_tokens},
                               token_count{this->emitted.tokens}, sha256_hex(this->emitted.text));
    auto self = std::static_pointer_cast<model_flow>(this->shared_from_this());
    this->record_and_deliver(std::move(line), [self](exchange::delivered_handler delivered) {
        self->deliver(std::move(delivered));
    });
}

void model_flow::deliver(exchange::delivered_handler delivered)
{
    if (!this->completion.stream) {
        auto answer =
            format_completion(this->completion.kind, this->admitted.id, this->completion.model,
                              this->emitted.text, this->finish_reason, this->usage);
        this->admitted.answer->respond(200,
                                       {{"Content-Type", "application/json"},
                                        {"Eelgrassbend-Request", this->admitted.id.value()},
                                        {"Eelgrassbend-Outcome", "ran"}},
                                       std::move(answer), std::move(delivered));
        return;
    }
    this->start_stream();
    const auto chunk = format_final_chunk(this->completion.kind, this->admitted.id,
                                          this->completion.model, this->finish_reason, this->usage);
    const auto last = event_id(this->admitted.id, this->emitted.tokens + 1);
    this->admitted.answer->finish(format_sse(last, chunk) + format_sse({}, "[DONE]"),
                                  std::move(delivered));
}

// The status of a stream that has started cannot change; it gets an error event and is aborted.
void model_flow::give_up(const refusal& refused)
{
    if (!this->answer_started) {
        request_flow::give_up(refused);
        return;
    }
    this->admitted.answer->send("event: error\ndata: " + refusal_body(refused) + "\n");
    this->admitted.answer->abort();
}

} // namespace eelgrassbend
