#ifndef EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_RESOURCE_MONITOR_H
#define EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_RESOURCE_MONITOR_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/logging/json_event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/net/descriptor_budget.h"
#include "eelgrassbend/support/repeating_timer.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>

namespace eelgrassbend {

/// Closes idle connections at intervals when callers leave too few descriptors, logs when the
/// process lacks descriptors to serve and when it has them again. Publishes the numbers and that
/// of log lines that could not be written.
class resource_monitor {
public:
    resource_monitor(descriptor_budget& descriptors, const json_event_log& output, scheduler& time,
                     event_log& log, metrics& counters);

    void start();

private:
    void check();
    void publish();
    void publish_dropped_lines();

    descriptor_budget& descriptors;
    const json_event_log& output;
    event_log& log;
    metrics& counters;
    connection_counts published;
    std::uint64_t published_dropped_lines = 0;
    int checks = 0;
    bool could_serve = true;
    repeating_timer timer;
};

} // namespace eelgrassbend

#endif
