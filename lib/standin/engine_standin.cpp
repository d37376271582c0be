#include "eelgrassbend/standin/engine_standin.h"

#include "eelgrassbend/standin/endpoint.h"
#include "model_endpoint.h"
#include "model_messages.h"
#include "plain_endpoint.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <stdexcept>

namespace eelgrassbend::standin {

using nlohmann::json;

http_fields json_fields()
{
    return {{"Content-Type", "application/json"}};
}

void refuse(http_answer& answer, int status, const std::string& message, http_fields fields)
{
    fields.emplace_back("Content-Type", "application/json");
    answer.send(status, json{{"error", message}}.dump(), std::move(fields));
}

std::unique_ptr<endpoint> make_endpoint(const engine_standin_settings& settings, scheduler& timers,
                                        execution_log& executions)
{
    if (settings.mode == endpoint_mode::plain) {
        return std::make_unique<plain_endpoint>(settings, timers, executions);
    }
    return std::make_unique<model_endpoint>(settings, timers, executions);
}

class engine_standin::implementation {
public:
    implementation(const engine_standin_settings& given, event_loop& loop)
        : settings(given),
          executions(given.executions_file),
          server(loop, given.ip, given.port,
                 [this](const auto& request, auto answer) { this->serve(request, answer); }),
          behind(make_endpoint(this->settings, loop, this->executions))
    {
    }

    void serve(const http_request& request, const std::shared_ptr<http_answer>& answer)
    {
        const auto call = request.method + " " + request.path;
        if (call == "GET /healthz") {
            const json health{{"status", "ok"},
                              {"name", this->settings.name},
                              {"service", this->settings.service},
                              {"zone", this->settings.zone}};
            answer->send(200, health.dump(), json_fields());
        }
        else if (call == "GET /v1/load") {
            answer->send(200, describe(this->behind->load()).dump(), json_fields());
        }
        else if (call == "GET /admin/executions") {
            answer->send(200, this->executions.lines(), {{"Content-Type", "application/x-ndjson"}});
        }
        else if (call == "POST /admin/faults") {
            this->set_faults(json::parse(request.body), *answer);
        }
        else {
            this->behind->serve(request, answer);
        }
    }

    void set_faults(const json& wanted, http_answer& answer)
    {
        auto next = this->faults;
        next.slowdown = wanted.value("slowdown", next.slowdown);
        next.refuse = wanted.value("refuse", next.refuse);
        next.truncate_after_tokens =
            wanted.value("truncate_after_tokens", next.truncate_after_tokens);
        next.cache_event_loss = wanted.value("cache_event_loss", next.cache_event_loss);
        if (!(next.slowdown > 0.0) || next.cache_event_loss < 0.0 || next.cache_event_loss > 1.0) {
            throw std::invalid_argument("slowdown or cache_event_loss out of bounds");
        }
        if (wanted.value("crash", false)) {
            std::_Exit(EXIT_FAILURE);
        }
        this->faults = next;
        this->behind->set_faults(next);
        if (wanted.value("silent", false)) {
            this->server.freeze_connections(answer);
        }
        answer.send(200, "{}", json_fields());
    }

    engine_standin_settings settings;
    execution_log executions;
    endpoint_faults faults;
    http_server server;
    std::unique_ptr<endpoint> behind;
};

engine_standin::engine_standin(const engine_standin_settings& settings, event_loop& loop)
    : inner(std::make_unique<implementation>(settings, loop))
{
}

engine_standin::~engine_standin() = default;

std::uint16_t engine_standin::port() const
{
    return this->inner->server.port();
}

} // namespace eelgrassbend::standin
