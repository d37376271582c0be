#include "model_messages.h"

#include "eelgrassbend/standin/endpoint.h"

#include "eelgrassbend/routing/router.h"

#include <array>
#include <charconv>
#include <stdexcept>

namespace eelgrassbend::standin {

using nlohmann::json;

static constexpr std::int64_t default_max_tokens = 256;

static std::string chat_prompt(const json& messages)
{
    std::string prompt;
    for (const auto& message : messages) {
        prompt += message.at("role").get<std::string>() + ": ";
        prompt += message.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

engine_request parse_completion(const http_request& request, const json& body, bool chat)
{
    engine_request wanted;
    wanted.model = model_id{body.value("model", "")};
    wanted.prompt =
        make_prompt(chat ? chat_prompt(body.at("messages")) : body.at("prompt").get<std::string>());
    wanted.max_tokens = token_count{body.value("max_tokens", default_max_tokens)};
    wanted.priority = static_cast<std::int32_t>(request.number_field("X-Priority", 0));
    if (const auto deadline = request.number_field("X-Deadline-Ms", 0); deadline > 0) {
        wanted.deadline = std::chrono::milliseconds{deadline};
    }
    if (body.contains("resume")) {
        wanted.resumed_text = body.at("resume").at("text").get<std::string>();
        wanted.resumed_tokens = token_count{body.at("resume").at("tokens").get<std::int64_t>()};
    }
    return wanted;
}

static std::string object_name(bool chat, bool chunk)
{
    if (!chat) {
        return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

std::pair<std::string, std::string> token_event_frame(const std::string& attempt, bool chat)
{
    const std::string head = R"(data: {"id":)" + json(attempt).dump() + R"(,"object":")" +
                             object_name(chat, true) + R"(","choices":[{"index":0,)";
    if (chat) {
        return {head + R"("delta":{"content":")", "\"},\"finish_reason\":null}]}\n\n"};
    }
    return {head + R"("text":")", "\",\"finish_reason\":null}]}\n\n"};
}

static json describe(const engine_usage& usage)
{
    return {{"prompt_tokens", usage.prompt_tokens.value()},
            {"completion_tokens", usage.output_tokens.value()},
            {"cached_tokens", usage.cached_tokens.value()}};
}

static const char* describe(finish_reason reason)
{
    return reason == finish_reason::stop ? "stop" : "length";
}

std::string last_events(const attempt_id& attempt, bool chat, const engine_usage& usage,
                        finish_reason reason)
{
    json choice{{"index", 0}, {"finish_reason", describe(reason)}};
    if (chat) {
        choice["delta"] = json::object();
    }
    else {
        choice["text"] = "";
    }
    const json event{{"id", attempt.value()},
                     {"object", object_name(chat, true)},
                     {"choices", json::array({choice})},
                     {"usage", describe(usage)}};
    return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
}

json whole_answer(const attempt_id& attempt, bool chat, const std::string& text,
                  const engine_usage& usage, finish_reason reason)
{
    json choice{{"index", 0}, {"finish_reason", describe(reason)}};
    if (chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else {
        choice["text"] = text;
    }
    return {{"id", attempt.value()},
            {"object", object_name(chat, false)},
            {"choices", json::array({choice})},
            {"usage", describe(usage)}};
}

void refuse_submission(http_answer& answer, const error& reason)
{
    if (reason.code == errc::unavailable) {
        refuse(answer, 503, reason.to_string(), {{"Retry-After", "1"}});
    }
    else if (reason.code == errc::not_found) {
        refuse(answer, 404, reason.to_string());
    }
    else if (reason.code == errc::conflict) {
        refuse(answer, 409, reason.to_string());
    }
    else {
        refuse(answer, 400, reason.to_string());
    }
}

static std::string to_hex(std::uint64_t block)
{
    constexpr int digits = 16;
    constexpr int base = 16;
    std::array<char, digits> text{};
    const auto written = std::to_chars(text.begin(), text.end(), block, base);
    std::string digits_written{text.begin(), written.ptr};
    return std::string(digits - digits_written.size(), '0') + digits_written;
}

static json describe_blocks(const std::vector<std::uint64_t>& blocks)
{
    json list = json::array();
    for (const auto block : blocks) {
        list.push_back(to_hex(block));
    }
    return list;
}

json describe(const cache_event_page& page)
{
    json events = json::array();
    for (const auto& event : page.events) {
        const auto* kind = "cleared";
        if (event.kind != cache_event_kind::cleared) {
            kind = event.kind == cache_event_kind::stored ? "stored" : "evicted";
        }
        events.push_back({{"sequence", event.sequence},
                          {"kind", kind},
                          {"blocks", describe_blocks(event.blocks)}});
    }
    return {{"next", page.next_sequence}, {"events", events}};
}

json describe(const kv_snapshot& snapshot)
{
    return {{"blocks", describe_blocks(snapshot.blocks)}, {"tokens", snapshot.tokens.value()}};
}

kv_snapshot parse_snapshot(const json& body)
{
    constexpr int base = 16;
    kv_snapshot snapshot;
    for (const auto& block : body.at("blocks")) {
        snapshot.blocks.push_back(std::stoull(block.get<std::string>(), nullptr, base));
    }
    const auto blocks = static_cast<std::int64_t>(snapshot.blocks.size());
    snapshot.tokens = token_count{blocks * prefix_block_tokens};
    return snapshot;
}

json describe(const engine_state& state)
{
    json models = json::array();
    for (const auto& loaded : state.models) {
        models.push_back({{"model", loaded.model.value()},
                          {"adapter", loaded.adapter},
                          {"version", loaded.version}});
    }
    return {{"models", models},
            {"role", state.role},
            {"highest_fencing_token", state.highest_token.value()}};
}

engine_order parse_order(const json& body)
{
    engine_order wanted;
    wanted.token = fencing_token{body.at("fencing_token").get<std::uint64_t>()};
    const auto kind = body.at("order").get<std::string>();
    if (kind == "load") {
        wanted.kind = order_kind::load;
    }
    else if (kind == "unload") {
        wanted.kind = order_kind::unload;
    }
    else if (kind == "role") {
        wanted.kind = order_kind::role;
    }
    else {
        throw std::invalid_argument("unknown order " + kind);
    }
    wanted.model = model_id{body.value("model", "")};
    wanted.adapter = body.value("adapter", "");
    wanted.version = body.value("version", "");
    wanted.role = body.value("role", "");
    return wanted;
}

json describe(const load_report& report)
{
    const auto since_epoch = report.measured_at.time_since_epoch();
    const auto measured = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return {{"measured_at_ms", measured.count()},
            {"slots", report.slots},
            {"running", report.running},
            {"queued", report.queued},
            {"queued_prompt_tokens", report.queued_prompt_tokens.value()},
            {"tokens_per_second", report.tokens_per_second}};
}

} // namespace eelgrassbend::standin
