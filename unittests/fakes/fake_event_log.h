#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_EVENT_LOG_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_EVENT_LOG_H

#include "eelgrassbend/logging/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Keeps the events for a test to look at.
class fake_event_log : public event_log {
public:
    void write(log_level, std::string_view event, const nlohmann::json& fields) override
    {
        this->events.emplace_back(std::string{event}, fields);
    }

    [[nodiscard]] std::size_t count(const std::string& event) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->events.begin(), this->events.end(),
                          [&](const auto& entry) { return entry.first == event; }));
    }

    std::vector<std::pair<std::string, nlohmann::json>> events;
};

} // namespace eelgrassbend

#endif
