#include "eelgrassbend/net/client_report.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/net/client_budget.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

/// A line for each client would let clients fill the log.
static constexpr std::chrono::seconds line_interval{10};

void client_report::on_refused(std::string_view reason)
{
    this->count("eelgrassbend_clients_refused_total", reason);
}

void client_report::on_closed(std::string_view reason)
{
    this->count("eelgrassbend_clients_closed_total", reason);
}

void client_report::count(const char* metric, std::string_view reason)
{
    if (this->counters != nullptr) {
        this->counters->count(metric, {{"reason", std::string{reason}}}, 1);
    }
    ++this->since_last_line.try_emplace(std::string{reason}, 0).first->second;
    const auto now = this->time.now();
    if (!this->last_line || now - *this->last_line >= line_interval) {
        this->last_line = now;
        this->log.write(log_level::warning, "clients_limited",
                        nlohmann::json(this->since_last_line));
        this->since_last_line.clear();
    }
}

void report_budget(const client_budget& budget, metrics& gauges)
{
    gauges.set("eelgrassbend_client_memory_bytes", {}, static_cast<double>(budget.used()));
    gauges.set("eelgrassbend_client_memory_limit_bytes", {},
               static_cast<double>(budget.capacity()));
    gauges.set("eelgrassbend_clients_waiting_count", {}, static_cast<double>(budget.waiting()));
}

} // namespace eelgrassbend
