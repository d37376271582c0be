#include "eelgrassbend/standin/execution_log.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace eelgrassbend::standin {

static constexpr std::size_t entry_limit = 200'000;

std::int64_t to_epoch_ms(wall_time time)
{
    return whole_milliseconds(time.time_since_epoch());
}

execution_log::execution_log(const std::string& file)
{
    if (file.empty()) {
        return;
    }
    this->file.open(file, std::ios::app);
    if (!this->file) {
        throw std::runtime_error("open executions file: " + file);
    }
}

std::shared_ptr<execution> execution_log::start(const http_request& request,
                                                const std::string& service, wall_time now)
{
    auto entry = std::make_shared<execution>();
    entry->request = request.field("X-Request-Id");
    entry->attempt = request.field("X-Attempt-Id");
    entry->idempotency_key = request.field("Idempotency-Key");
    entry->service = service;
    entry->method = request.method;
    entry->path = request.path;
    entry->started_ms = to_epoch_ms(now);
    this->entries.push_back(entry);
    if (this->entries.size() > entry_limit) {
        this->entries.pop_front();
    }
    return entry;
}

static nlohmann::json describe(const execution& entry)
{
    nlohmann::json line{{"request", entry.request},
                        {"attempt", entry.attempt},
                        {"idempotency_key", entry.idempotency_key},
                        {"service", entry.service},
                        {"method", entry.method},
                        {"path", entry.path},
                        {"started_ms", entry.started_ms},
                        {"ended_ms", nullptr},
                        {"cancelled", entry.cancelled},
                        {"whole", entry.whole},
                        {"digest", entry.digest},
                        {"prompt_tokens", entry.prompt_tokens},
                        {"output_tokens", entry.output_tokens},
                        {"cached_tokens", entry.cached_tokens},
                        {"resumed_tokens", entry.resumed_tokens}};
    if (entry.ended_ms) {
        line["ended_ms"] = *entry.ended_ms;
    }
    return line;
}

void execution_log::ended(const execution& entry)
{
    if (!this->file.is_open()) {
        return;
    }
    const auto line = describe(entry);
    this->file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
}

std::string execution_log::lines() const
{
    std::string text;
    for (const auto& entry : this->entries) {
        text += describe(*entry).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        text += "\n";
    }
    return text;
}

} // namespace eelgrassbend::standin
