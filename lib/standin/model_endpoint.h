#ifndef EELGRASSBEND_LIB_STANDIN_MODEL_ENDPOINT_H
#define EELGRASSBEND_LIB_STANDIN_MODEL_ENDPOINT_H

#include "eelgrassbend/standin/endpoint.h"
#include "eelgrassbend/support/scheduler.h"

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/standin/engine_standin.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace eelgrassbend::standin {

/// The HTTP side of a model engine.
class model_endpoint : public endpoint, private engine_observer {
public:
    model_endpoint(const engine_standin_settings& settings, scheduler& loop,
                   execution_log& executions);

    void serve(const http_request& request, const answer_pointer& answer) override;
    [[nodiscard]] load_report load() const override;
    void set_faults(const endpoint_faults& wanted) override;

private:
    /// One attempt with its connection.
    struct exchange {
        answer_pointer answer;
        std::shared_ptr<execution> record;
        bool chat = true;
        bool stream = true;
        bool truncated = false;
        std::int64_t tokens_sent = 0;
        std::string text;         ///< all tokens, resumed ones too
        std::string event_prefix; ///< of a token's event, up to its text
        std::string event_suffix;
    };

    void on_token(const attempt_id& attempt, std::int64_t index, const std::string& text) override;
    void on_finished(const attempt_id& attempt, const engine_usage& usage,
                     finish_reason reason) override;
    void on_cancelled(const attempt_id& attempt, const engine_usage& usage) override;

    void complete(const http_request& request, const answer_pointer& answer, bool chat);
    void open_stream(const attempt_id& attempt, const exchange& entry);
    void record_end(exchange& entry, const engine_usage& usage);
    void cancel_attempt(const http_request& request, const answer_pointer& answer);
    void cache_events(const http_request& request, const answer_pointer& answer);
    void export_kv(const http_request& request, const answer_pointer& answer);
    void import_kv(const http_request& request, const answer_pointer& answer);
    void order(const http_request& request, const answer_pointer& answer);
    [[nodiscard]] nlohmann::json describe_state() const;

    const engine_standin_settings& settings;
    scheduler& loop;
    execution_log& executions;
    endpoint_faults faults;
    seeded_random random;
    std::unordered_map<std::string, exchange> exchanges; ///< by attempt
    std::uint64_t unnamed_attempts = 0;
    engine_model engine;
};

} // namespace eelgrassbend::standin

#endif
