#ifndef EELGRASSBEND_LOGGING_JSON_EVENT_LOG_H
#define EELGRASSBEND_LOGGING_JSON_EVENT_LOG_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/logging/line_writer.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <string>

namespace eelgrassbend {

/// Writes lines of at least `min_level` as JSON to standard output without ever blocking. One
/// object at a time receives the lines of the process.
class json_event_log : public event_log {
public:
    json_event_log(const clock_source& clock, node_id node, log_level min_level);
    ~json_event_log() override;
    json_event_log(const json_event_log&) = delete;
    json_event_log& operator=(const json_event_log&) = delete;

    void write(log_level level, std::string_view event, const nlohmann::json& fields) override;

    /// Number of lines that could not be written.
    [[nodiscard]] std::uint64_t dropped_lines() const { return this->output.dropped(); }

private:
    const clock_source& clock;
    node_id node;
    log_level min_level;
    line_writer output;
};

/// Formats a log line: time, level, node and event, then the fields sorted by name.
std::string format_log_line(wall_time time, log_level level, const node_id& node,
                            std::string_view event, const nlohmann::json& fields);

} // namespace eelgrassbend

#endif
