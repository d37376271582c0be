#include "model_endpoint.h"

#include "model_messages.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <tuple>
#include <utility>

namespace eelgrassbend::standin {

using nlohmann::json;

model_endpoint::model_endpoint(const engine_standin_settings& settings, scheduler& loop,
                               execution_log& executions)
    : settings(settings),
      loop(loop),
      executions(executions),
      random(settings.seed),
      engine(settings.engine, loop, this->random)
{
}

void model_endpoint::serve(const http_request& request, const answer_pointer& answer)
{
    const auto call = request.method + " " + request.path;
    if (call == "POST /v1/chat/completions" || call == "POST /v1/completions") {
        this->complete(request, answer, request.path == "/v1/chat/completions");
    }
    else if (call == "POST /v1/cancel") {
        this->cancel_attempt(request, answer);
    }
    else if (call == "GET /v1/cache-events") {
        this->cache_events(request, answer);
    }
    else if (call == "POST /v1/kv/export") {
        this->export_kv(request, answer);
    }
    else if (call == "POST /v1/kv/import") {
        this->import_kv(request, answer);
    }
    else if (call == "POST /v1/orders") {
        this->order(request, answer);
    }
    else if (call == "GET /v1/state") {
        answer->send(200, this->describe_state().dump(), json_fields());
    }
    else {
        refuse(*answer, 404, "no such path");
    }
}

load_report model_endpoint::load() const
{
    return this->engine.lagging_load();
}

void model_endpoint::set_faults(const endpoint_faults& wanted)
{
    this->faults = wanted;
    this->engine.set_slowdown(wanted.slowdown);
    this->engine.set_cache_event_loss(wanted.cache_event_loss);
}

void model_endpoint::complete(const http_request& request, const answer_pointer& answer, bool chat)
{
    if (this->faults.refuse) {
        refuse(*answer, 503, "refuses all work", {{"Retry-After", "1"}});
        return;
    }
    const auto body = json::parse(request.body);
    auto attempt = request.field("X-Attempt-Id");
    if (attempt.empty()) {
        attempt = "unnamed-" + std::to_string(++this->unnamed_attempts);
    }
    auto wanted = parse_completion(request, body, chat);
    wanted.attempt = attempt_id{attempt};
    const auto resumed_text = wanted.resumed_text;
    if (const auto taken = this->engine.submit(std::move(wanted), *this); !taken) {
        refuse_submission(*answer, taken.error());
        return;
    }
    exchange entry;
    entry.answer = answer;
    entry.record = this->executions.start(request, this->settings.service, this->loop.wall_now());
    entry.record->attempt = attempt;
    entry.chat = chat;
    entry.stream = body.value("stream", false);
    entry.text = resumed_text;
    std::tie(entry.event_prefix, entry.event_suffix) = token_event_frame(attempt, chat);
    answer->on_closed([this, attempt] { this->engine.cancel(attempt_id{attempt}); });
    this->open_stream(attempt_id{attempt}, entry);
    this->exchanges.emplace(attempt, std::move(entry));
}

void model_endpoint::open_stream(const attempt_id& attempt, const exchange& entry)
{
    if (entry.stream) {
        entry.answer->begin(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {"X-Attempt-Id", attempt.value()}});
    }
}

void model_endpoint::on_token(const attempt_id& attempt, std::int64_t, const std::string& text)
{
    auto& entry = this->exchanges.at(attempt.value());
    entry.text += text;
    if (!entry.stream) {
        return;
    }
    const auto limit = this->faults.truncate_after_tokens;
    if (limit >= 0 && entry.tokens_sent >= limit) {
        entry.truncated = true;
        entry.answer->abort();
        this->engine.cancel(attempt);
        return;
    }
    ++entry.tokens_sent;
    // A connection that is lost by this write cancels the attempt and destroys the entry.
    const auto answer = entry.answer;
    answer->write(entry.event_prefix + text + entry.event_suffix);
}

void model_endpoint::record_end(exchange& entry, const engine_usage& usage)
{
    auto& record = *entry.record;
    record.ended_ms = to_epoch_ms(this->loop.wall_now());
    record.digest = sha256_hex(entry.text);
    record.prompt_tokens = usage.prompt_tokens.value();
    record.output_tokens = usage.output_tokens.value();
    record.cached_tokens = usage.cached_tokens.value();
    record.resumed_tokens = usage.resumed_tokens.value();
    this->executions.ended(record);
}

void model_endpoint::on_finished(const attempt_id& attempt, const engine_usage& usage,
                                 finish_reason reason)
{
    auto entry = std::move(this->exchanges.extract(attempt.value()).mapped());
    this->record_end(entry, usage);
    entry.answer->on_sent([record = entry.record] { record->whole = true; });
    if (entry.stream) {
        entry.answer->write(last_events(attempt, entry.chat, usage, reason));
        entry.answer->end();
        return;
    }
    auto fields = json_fields();
    fields.emplace_back("X-Attempt-Id", attempt.value());
    const auto body = whole_answer(attempt, entry.chat, entry.text, usage, reason);
    entry.answer->send(200, body.dump(), fields);
}

void model_endpoint::on_cancelled(const attempt_id& attempt, const engine_usage& usage)
{
    auto entry = std::move(this->exchanges.extract(attempt.value()).mapped());
    this->record_end(entry, usage);
    entry.record->cancelled = !entry.truncated;
    entry.answer->abort();
}

void model_endpoint::cancel_attempt(const http_request& request, const answer_pointer& answer)
{
    const attempt_id attempt{json::parse(request.body).at("attempt").get<std::string>()};
    const auto cancelled = this->engine.cancel(attempt);
    answer->send(200, json{{"cancelled", cancelled}}.dump(), json_fields());
}

void model_endpoint::cache_events(const http_request& request, const answer_pointer& answer)
{
    const auto from = static_cast<std::uint64_t>(request.number("from", 0));
    answer->send(200, describe(this->engine.cache_events(from)).dump(), json_fields());
}

void model_endpoint::export_kv(const http_request& request, const answer_pointer& answer)
{
    const attempt_id attempt{json::parse(request.body).at("attempt").get<std::string>()};
    this->engine.export_kv(attempt, [answer](const result<kv_snapshot>& exported) {
        if (!exported) {
            refuse(*answer, 404, exported.error().to_string());
            return;
        }
        answer->send(200, describe(exported.value()).dump(),
                     {{"Content-Type", "application/octet-stream"}});
    });
}

void model_endpoint::import_kv(const http_request& request, const answer_pointer& answer)
{
    auto snapshot = parse_snapshot(json::parse(request.body));
    this->engine.import_kv(std::move(snapshot), [answer](const result<token_count>& imported) {
        answer->send(200, json{{"tokens", imported.value().value()}}.dump(), json_fields());
    });
}

void model_endpoint::order(const http_request& request, const answer_pointer& answer)
{
    const auto wanted = parse_order(json::parse(request.body));
    this->engine.order(wanted, [this, answer](const result<engine_state>& taken) {
        if (!taken) {
            refuse(*answer, 409, taken.error().to_string());
            return;
        }
        answer->send(200, json{{"state", this->describe_state()}}.dump(), json_fields());
    });
}

json model_endpoint::describe_state() const
{
    return describe(this->engine.state());
}

} // namespace eelgrassbend::standin
