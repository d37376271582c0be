#include "eelgrassbend/logging/event_log.h"

namespace eelgrassbend {

log_level parse_log_level(const std::string& name)
{
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

} // namespace eelgrassbend
