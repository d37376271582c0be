#ifndef EELGRASSBEND_QUARANTINE_CRASH_DETECTOR_H
#define EELGRASSBEND_QUARANTINE_CRASH_DETECTOR_H

#include "eelgrassbend/endpoints/reachability_probe.h"
#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Time from the first event of an unfinished answer after which it proves that the parts of its
/// prompt do not crash endpoints. A crash can follow some events that were already sent.
constexpr std::chrono::seconds answer_confirmation_time{1};
/// Time from the end of a complete answer after which it proves the same.
constexpr std::chrono::milliseconds complete_answer_confirmation_time{200};

/// An attempt at an endpoint, as evidence about the parts of its prompt.
struct attempt_evidence {
    endpoint_id endpoint;
    std::int64_t started = 0; ///< incarnation of the endpoint
    network_address address;
    request_id request;
    bool has_answer_begun = false; ///< the head of the answer had arrived
    part_keys parts;               ///< shared parts of the prompt
};

/// Derives evidence about prompt parts from attempts. An endpoint has crashed if an attempt there
/// is lost and its address then refuses connections; connections also end for other reasons, such
/// as a reset on the way or a broken answer. The requests that it was answering are suspected. An
/// answer counts as proof of its parts once its endpoint has lived on for a while.
class crash_detector {
public:
    crash_detector(reachability_probe& probes, part_quarantine& quarantine, scheduler& time,
                   event_log& log, metrics& counters);

    /// The attempt has received the first event of its answer, or an answer without events.
    void handle_answer_produced(attempt_evidence answered);
    /// The answer of the attempt is complete.
    void handle_answer_completed(const attempt_evidence& answered);
    /// The connection of an attempt without a confirmed answer has ended.
    void handle_lost_attempt(attempt_evidence lost);
    /// The attempt was cancelled: what becomes of its endpoint is no evidence about its parts.
    void handle_cancelled_attempt(const attempt_evidence& cancelled);

private:
    using attempt_key = std::pair<request_id, endpoint_id>;

    struct lost_attempt {
        attempt_evidence attempt;
        monotonic_time lost_at;
    };

    struct unconfirmed_answer {
        attempt_evidence attempt;
        monotonic_time answered_at;
        monotonic_time confirmed_at; ///< unless its endpoint crashes before
    };

    /// What waits for the result of a probe.
    struct pending_probe {
        std::vector<lost_attempt> lost;
        std::vector<unconfirmed_answer> answers; ///< due to be confirmed
    };

    void schedule_confirmation();
    void confirm_answers();
    void confirm(const unconfirmed_answer& answer);
    void handle_probe(const network_address& address, reachability result);
    /// Suspects the lost attempts, and the unconfirmed answers of the crashed endpoints.
    void record_crash(const pending_probe& ended);
    void record_suspect(const attempt_evidence& suspect, monotonic_time crashed_at);
    /// Moves the unconfirmed answers from the address to `probe`.
    void collect_answers(const network_address& address, pending_probe& probe);

    reachability_probe& probes;
    part_quarantine& quarantine;
    scheduler& time;
    event_log& log;
    metrics& counters;
    std::map<network_address, pending_probe> pending_probes;
    std::map<attempt_key, unconfirmed_answer> unconfirmed_answers;
    bool is_confirmation_scheduled = false;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
