#ifndef EELGRASSBEND_UNITTESTS_FAKES_RECORDING_ENGINE_OBSERVER_H
#define EELGRASSBEND_UNITTESTS_FAKES_RECORDING_ENGINE_OBSERVER_H

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Records the progress of all attempts.
class recording_engine_observer : public engine_observer {
public:
    struct record {
        std::string text;
        std::vector<monotonic_time> times; ///< one per token
        std::int64_t first_index = -1;
        int finished = 0;
        int cancelled = 0;
        engine_usage usage;
        finish_reason reason = finish_reason::stop;
    };

    explicit recording_engine_observer(const clock_source& clock) : clock(clock) {}

    void on_token(const attempt_id& attempt, std::int64_t index, const std::string& text) override
    {
        auto& entry = this->records[attempt.value()];
        if (entry.first_index < 0) {
            entry.first_index = index;
        }
        entry.text += text;
        entry.times.push_back(this->clock.now());
    }

    void on_finished(const attempt_id& attempt, const engine_usage& usage,
                     finish_reason reason) override
    {
        auto& entry = this->records[attempt.value()];
        ++entry.finished;
        entry.usage = usage;
        entry.reason = reason;
        this->finish_order.push_back(attempt.value());
    }

    void on_cancelled(const attempt_id& attempt, const engine_usage& usage) override
    {
        auto& entry = this->records[attempt.value()];
        ++entry.cancelled;
        entry.usage = usage;
    }

    std::map<std::string, record> records;
    std::vector<std::string> finish_order; ///< attempts in the order of completion

private:
    const clock_source& clock;
};

} // namespace eelgrassbend

#endif
