#include "eelgrassbend/serving/completion_codec.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

using nlohmann::json;

static error invalid(const std::string& detail)
{
    return make_error(errc::invalid_argument, "parse completion request", {}, detail);
}

static result<std::string> chat_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalid("'messages' must be a list with at least one message");
    }
    std::string prompt;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
            !message.contains("content") || !message["content"].is_string()) {
            return invalid("each message needs a 'role' and a 'content', both text");
        }
        prompt += message["role"].get<std::string>() + ": ";
        prompt += message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

static result<std::string> text_prompt(const json& body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return invalid("'prompt' must be a text");
    }
    return prompt->get<std::string>();
}

static result<std::int64_t> read_max_tokens(const json& body)
{
    const auto found = body.find("max_tokens");
    if (found == body.end()) {
        return default_max_tokens;
    }
    if (!found->is_number_integer() || *found < 1 || *found > max_tokens_limit) {
        return invalid("'max_tokens' must be a whole number from 1 to " +
                       std::to_string(max_tokens_limit));
    }
    return found->get<std::int64_t>();
}

result<completion_request> parse_completion_request(completion_kind kind, shared_bytes body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return invalid("the body must be a JSON object");
    }
    completion_request request;
    request.kind = kind;
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        return invalid("'model' must be a text");
    }
    request.model = model->get<std::string>();
    auto prompt = kind == completion_kind::chat ? chat_prompt(parsed) : text_prompt(parsed);
    if (!prompt) {
        return prompt.error();
    }
    request.prompt = std::move(prompt.value());
    auto max_tokens = read_max_tokens(parsed);
    if (!max_tokens) {
        return max_tokens.error();
    }
    request.max_tokens = max_tokens.value();
    if (const auto stream = parsed.find("stream"); stream != parsed.end()) {
        if (!stream->is_boolean()) {
            return invalid("'stream' must be true or false");
        }
        request.stream = stream->get<bool>();
    }
    request.body = std::move(body);
    return request;
}

std::string format_engine_body(const completion_request& request, const model_id& model,
                               const emitted_answer& emitted)
{
    auto body = json::parse(request.body);
    if (!model.value().empty()) {
        body["model"] = model.value();
    }
    body["stream"] = true;
    body["max_tokens"] = request.max_tokens;
    body.erase("resume");
    if (emitted.tokens > 0) {
        body["resume"] = {{"text", emitted.text}, {"tokens", emitted.tokens}};
    }
    return body.dump();
}

static std::string text_of(const json& choice)
{
    if (const auto delta = choice.find("delta"); delta != choice.end() && delta->is_object()) {
        return delta->value("content", std::string{});
    }
    return choice.value("text", std::string{});
}

static token_usage usage_of(const json& usage)
{
    token_usage read;
    read.prompt_tokens = usage.value("prompt_tokens", std::int64_t{0});
    read.completion_tokens = usage.value("completion_tokens", std::int64_t{0});
    read.cached_tokens = usage.value("cached_tokens", std::int64_t{0});
    return read;
}

result<completion_event> parse_completion_event(const std::string& data)
{
    const auto malformed = [](const char* detail) {
        return make_error(errc::invalid_argument, "parse engine event", {}, detail);
    };
    const auto parsed = json::parse(data, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return malformed("not a JSON object");
    }
    try {
        completion_event event;
        event.id = parsed.value("id", std::string{});
        const auto& choice = parsed.at("choices").at(0);
        event.text = text_of(choice);
        if (const auto reason = choice.find("finish_reason");
            reason != choice.end() && reason->is_string()) {
            event.finish_reason = reason->get<std::string>();
        }
        if (const auto usage = parsed.find("usage"); usage != parsed.end() && usage->is_object()) {
            event.usage = usage_of(*usage);
        }
        return event;
    }
    catch (const json::exception&) {
        return malformed("a field is missing or of the wrong type");
    }
}

static json chunk_frame(completion_kind kind, const request_id& id, const std::string& model)
{
    return {{"id", id.value()},
            {"object", kind == completion_kind::chat ? "chat.completion.chunk" : "text_completion"},
            {"model", model}};
}

static json usage_json(const token_usage& usage)
{
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.completion_tokens},
            {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

static std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_token_chunk(completion_kind kind, const request_id& id, const std::string& model,
                               const std::string& text)
{
    auto chunk = chunk_frame(kind, id, model);
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (kind == completion_kind::chat) {
        choice["delta"] = {{"content", text}};
    }
    else {
        choice["text"] = text;
    }
    chunk["choices"] = json::array({choice});
    return dump(chunk);
}

std::string format_final_chunk(completion_kind kind, const request_id& id, const std::string& model,
                               const std::string& finish_reason, const token_usage& usage)
{
    auto chunk = chunk_frame(kind, id, model);
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (kind == completion_kind::chat) {
        choice["delta"] = json::object();
    }
    else {
        choice["text"] = "";
    }
    chunk["choices"] = json::array({choice});
    chunk["usage"] = usage_json(usage);
    return dump(chunk);
}

std::string format_completion(completion_kind kind, const request_id& id, const std::string& model,
                              const std::string& text, const std::string& finish_reason,
                              const token_usage& usage)
{
    json answer{{"id", id.value()}, {"model", model}, {"usage", usage_json(usage)}};
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (kind == completion_kind::chat) {
        answer["object"] = "chat.completion";
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else {
        answer["object"] = "text_completion";
        choice["text"] = text;
    }
    answer["choices"] = json::array({choice});
    return dump(answer);
}

} // namespace eelgrassbend
