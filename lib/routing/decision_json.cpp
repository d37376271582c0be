#include "eelgrassbend/routing/decision_json.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

static double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

static const char* name_of(request_class size)
{
    switch (size) {
    case request_class::quick:
        return "quick";
    case request_class::normal:
        return "normal";
    case request_class::long_running:
        return "long";
    }
    return "unknown";
}

static nlohmann::json fields_of(const route_request& request)
{
    nlohmann::json fields{
        {"request", request.request.value()},
        {"organisation", request.organisation.value()},
        {"service", request.service.value()},
        {"class", name_of(request.size)},
        {"priority", request.priority},
        {"prompt_tokens", request.prompt_tokens.value()},
        {"expected_output", request.expected_output.value()},
        {"idempotent", request.idempotent},
    };
    for (const auto& excluded : request.excluded) {
        fields["excluded"].push_back(excluded.value());
    }
    return fields;
}

static nlohmann::json to_json(const candidate_score& score)
{
    nlohmann::json fields{
        {"endpoint", score.endpoint.value()},
        {"first_token_ms", milliseconds(score.predicted)},
        {"slot_wait_ms", milliseconds(score.slot_wait)},
        {"token_ms", milliseconds(score.token_time)},
        {"completion_ms", milliseconds(score.completion)},
        {"cost", score.cost.value()},
        {"cached_tokens", score.cached_tokens},
        {"prompt_work", score.prompt_work},
        {"load", score.load},
        {"own", score.own_attempts},
        {"slots", score.slots},
        {"price_per_hour", score.price_per_hour.value()},
        {"meets_target", score.meets_target},
    };
    if (!score.rejection_reason.empty()) {
        fields["note"] = score.rejection_reason;
    }
    return fields;
}

nlohmann::json to_json(const route_request& request, const route_decision& decision)
{
    auto fields = fields_of(request);
    fields["endpoint"] = decision.endpoint.value();
    fields["policy"] = decision.policy;
    fields["reason"] = decision.reason;
    fields["bundle"] = decision.version.value();
    fields["considered"] = decision.considered;
    fields["near_equals"] = decision.near_equals;
    fields["candidates"] = nlohmann::json::array();
    for (const auto& score : decision.candidates) {
        fields["candidates"].push_back(to_json(score));
    }
    return fields;
}

nlohmann::json to_json(const route_request& request, const error& refusal)
{
    auto fields = fields_of(request);
    fields["refusal"] = refusal.code.message();
    fields["reason"] = refusal.detail;
    fields["peer"] = refusal.peer;
    return fields;
}

} // namespace eelgrassbend
