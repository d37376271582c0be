#ifndef EELGRASSBEND_ENGINE_MODEL_LOAD_HISTORY_H
#define EELGRASSBEND_ENGINE_MODEL_LOAD_HISTORY_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/units.h"

#include <deque>

namespace eelgrassbend {

/// Stores the load reports of the last `span`.
class load_history {
public:
    load_history(duration span, monotonic_time now, const load_report& first);

    void record(monotonic_time now, const load_report& report);
    /// The load in effect at `time`, or the earliest stored one.
    [[nodiscard]] const load_report& at(monotonic_time time) const;

private:
    struct sample {
        monotonic_time since;
        load_report report;
    };

    duration span;
    std::deque<sample> samples;
};

} // namespace eelgrassbend

#endif
