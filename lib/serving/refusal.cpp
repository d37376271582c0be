#include "eelgrassbend/serving/refusal.h"

#include "eelgrassbend/serving/exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

const char* to_string(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::ran:
        return "ran";
    }
    return "unknown";
}

int http_status_for(const error& reason)
{
    const auto& code = reason.code;
    if (code == errc::invalid_argument) {
        return 400;
    }
    if (code == errc::unauthenticated) {
        return 401;
    }
    if (code == errc::forbidden) {
        return 403;
    }
    if (code == errc::not_found) {
        return 404;
    }
    if (code == errc::conflict) {
        return 409;
    }
    if (code == errc::rate_limited) {
        return 429;
    }
    if (code == errc::timed_out) {
        return 504;
    }
    return 503;
}

/// Formats a Retry-After value: whole seconds, rounded up, at least 1.
static std::string retry_after_seconds(duration span)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(span).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

header_list refusal_headers(const refusal& refused)
{
    header_list headers{{"Content-Type", "application/problem+json"},
                        {"Eelgrassbend-Outcome", to_string(refused.outcome)}};
    if (refused.retry_after) {
        headers.emplace_back("Retry-After", retry_after_seconds(*refused.retry_after));
    }
    if (refused.status == 401) {
        headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    return headers;
}

std::string refusal_body(const refusal& refused)
{
    const nlohmann::ordered_json body{
        {"type", "about:blank"},          {"title", refused.reason.code.message()},
        {"status", refused.status},       {"outcome", to_string(refused.outcome)},
        {"step", refused.reason.step},    {"peer", refused.reason.peer},
        {"detail", refused.reason.detail}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void refuse(exchange& answer, const refusal& refused)
{
    answer.respond(refused.status, refusal_headers(refused), refusal_body(refused), nullptr);
}

} // namespace eelgrassbend
