#ifndef EELGRASSBEND_SERVING_COMPLETION_CODEC_H
#define EELGRASSBEND_SERVING_COMPLETION_CODEC_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/shared_bytes.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrassbend {

enum class completion_kind { chat, text };

/// A parsed chat or text completion request.
struct completion_request {
    completion_kind kind = completion_kind::chat;
    std::string model;
    std::string prompt; ///< for a chat: "<role>: <content>\n" for each message
    std::int64_t max_tokens = 0;
    bool stream = false;
    shared_bytes body; ///< as received
};

/// Text and tokens emitted so far; a resumed attempt continues after them.
struct emitted_answer {
    std::string text;
    std::int64_t tokens = 0;
};

struct token_usage {
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    std::int64_t cached_tokens = 0;
};

/// One event of an engine's answer stream.
struct completion_event {
    std::string id;
    std::string text;
    std::string finish_reason; ///< empty except in the last event
    std::optional<token_usage> usage;
};

constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t max_tokens_limit = 16'384;

/// Errors: `invalid_argument`; the detail names the field.
result<completion_request> parse_completion_request(completion_kind kind, shared_bytes body);

/// Formats the request body for an engine that runs `model`. The engine always streams, and resumes
/// after `emitted` if that is not empty.
std::string format_engine_body(const completion_request& request, const model_id& model,
                               const emitted_answer& emitted);

result<completion_event> parse_completion_event(const std::string& data);

/// Formats the event data for one token.
std::string format_token_chunk(completion_kind kind, const request_id& id, const std::string& model,
                               const std::string& text);
/// Formats the data of the last event.
std::string format_final_chunk(completion_kind kind, const request_id& id, const std::string& model,
                               const std::string& finish_reason, const token_usage& usage);
/// Formats an answer that is not streamed.
std::string format_completion(completion_kind kind, const request_id& id, const std::string& model,
                              const std::string& text, const std::string& finish_reason,
                              const token_usage& usage);

} // namespace eelgrassbend

#endif
