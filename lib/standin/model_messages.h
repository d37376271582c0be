#ifndef EELGRASSBEND_LIB_STANDIN_MODEL_MESSAGES_H
#define EELGRASSBEND_LIB_STANDIN_MODEL_MESSAGES_H

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/standin/http_server.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace eelgrassbend::standin {

/// The request but for its attempt. Throws if a field is missing or of a wrong type.
engine_request parse_completion(const http_request& request, const nlohmann::json& body, bool chat);
/// What stands before and after the text in the event of a token.
std::pair<std::string, std::string> token_event_frame(const std::string& attempt, bool chat);
/// The event with the usage, and the mark of the end.
std::string last_events(const attempt_id& attempt, bool chat, const engine_usage& usage,
                        finish_reason reason);
/// The answer to a request that is not streamed.
nlohmann::json whole_answer(const attempt_id& attempt, bool chat, const std::string& text,
                            const engine_usage& usage, finish_reason reason);
/// Tells the caller why an attempt was not taken.
void refuse_submission(http_answer& answer, const error& reason);

nlohmann::json describe(const cache_event_page& page);
nlohmann::json describe(const kv_snapshot& snapshot);
nlohmann::json describe(const engine_state& state);
nlohmann::json describe(const load_report& report);
kv_snapshot parse_snapshot(const nlohmann::json& body);
engine_order parse_order(const nlohmann::json& body);

} // namespace eelgrassbend::standin

#endif
