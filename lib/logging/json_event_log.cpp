#include "eelgrassbend/logging/json_event_log.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace eelgrassbend {

static constexpr const char* callback_name = "line_writer";

namespace {

/// Passes lines to a writer that does not block. The library's own output writes on the calling
/// thread, which waits if nobody reads the pipe.
class writer_callback : public el::LogDispatchCallback {
public:
    void set_writer(line_writer* receiver) { this->receiver = receiver; }

protected:
    void handle(const el::LogDispatchData* data) override
    {
        if (this->receiver != nullptr) {
            this->receiver->write(data->logMessage()->message());
        }
    }

private:
    line_writer* receiver = nullptr;
};

} // namespace

static void configure_output(line_writer* receiver)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::installLogDispatchCallback<writer_callback>(callback_name);
    el::Helpers::logDispatchCallback<writer_callback>(callback_name)->set_writer(receiver);
}

static const char* level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string format_log_line(wall_time time, log_level level, const node_id& node,
                            std::string_view event, const nlohmann::json& fields)
{
    nlohmann::ordered_json line;
    line["time_us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    line["level"] = level_name(level);
    line["node"] = node.value();
    line["event"] = event;
    for (const auto& [key, value] : fields.items()) {
        line[key] = value;
    }
    // Bytes from callers and peers can reach a log line; invalid UTF-8 must not throw.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

json_event_log::json_event_log(const clock_source& clock, node_id node, log_level min_level)
    : clock(clock), node(std::move(node)), min_level(min_level), output(STDOUT_FILENO)
{
    configure_output(&this->output);
}

json_event_log::~json_event_log()
{
    el::Helpers::logDispatchCallback<writer_callback>(callback_name)->set_writer(nullptr);
}

void json_event_log::write(log_level level, std::string_view event, const nlohmann::json& fields)
{
    if (level < this->min_level) {
        return;
    }
    const auto line = format_log_line(this->clock.wall_now(), level, this->node, event, fields);
    LOG(INFO) << line;
}

} // namespace eelgrassbend
