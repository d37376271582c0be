#ifndef EELGRASSBEND_QUARANTINE_CRASH_DETECTOR_H
#define EELGRASSBEND_QUARANTINE_CRASH_DETECTOR_H

#include "eelgrassbend/endpoints/reachability_probe.h"
#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <vector>

namespace eelgrassbend {

/// An attempt whose connection ended before the first event of its answer.
struct lost_attempt {
    endpoint_id endpoint;
    std::int64_t started = 0; ///< incarnation of the endpoint
    network_address address;
    request_id request;
    bool has_answer_begun = false; ///< the head of the answer had arrived
    part_keys parts;               ///< shared parts of the prompt
};

/// Finds out whether lost attempts were lost by a crash of their endpoint: its address then refuses
/// connections. Connections also end for other reasons, such as a reset on the way or a broken
/// answer.
class crash_detector {
public:
    crash_detector(reachability_probe& probes, part_quarantine& quarantine, scheduler& time,
                   event_log& log, metrics& counters);

    void handle_lost_attempt(lost_attempt lost);

private:
    struct pending_attempt {
        lost_attempt lost;
        monotonic_time lost_at;
    };

    void handle_probe(const network_address& address, reachability result);

    reachability_probe& probes;
    part_quarantine& quarantine;
    scheduler& time;
    event_log& log;
    metrics& counters;
    std::map<network_address, std::vector<pending_attempt>> pending; ///< one probe each
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
