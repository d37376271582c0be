#ifndef EELGRASSBEND_UNITTESTS_FAKES_NULL_EVENT_LOG_H
#define EELGRASSBEND_UNITTESTS_FAKES_NULL_EVENT_LOG_H

#include "eelgrassbend/logging/event_log.h"

namespace eelgrassbend {

class null_event_log : public event_log {
public:
    void write(log_level /*level*/, std::string_view /*event*/,
               const nlohmann::json& /*fields*/) override
    {
    }
};

} // namespace eelgrassbend

#endif
