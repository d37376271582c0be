#ifndef EELGRASSBEND_LOGGING_EVENT_LOG_H
#define EELGRASSBEND_LOGGING_EVENT_LOG_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace eelgrassbend {

enum class log_level { debug, info, warning, error };

/// Parses "debug", "warning" or "error"; any other name yields `info`.
log_level parse_log_level(const std::string& name);

/// A sink for structured log lines, one for each decision or notable event.
class event_log {
public:
    virtual ~event_log() = default;

    /// Writes a line. `event` is a stable name such as "route"; `fields` is a JSON object.
    virtual void write(log_level level, std::string_view event, const nlohmann::json& fields) = 0;
};

} // namespace eelgrassbend

#endif
