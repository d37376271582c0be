#ifndef EELGRASSBEND_DUTIES_USAGE_REPORTER_H
#define EELGRASSBEND_DUTIES_USAGE_REPORTER_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/repeating_timer.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrassbend {

struct usage_reporter_settings {
    store_topic topic{"usage", false};
    /// Delay after the end of a window, in which the last digests and summaries of other nodes
    /// arrive.
    duration settle_time = std::chrono::milliseconds{2500};
    /// Deadline of a report, measured from the end of its window.
    duration report_deadline = std::chrono::seconds{10};
};

/// Reports the usage of each window once. The sums are first recorded in the store: the first
/// record of a window is authoritative, and every report of the window repeats it. A window whose
/// record the store may have lost, as it was restored from an older copy or its history was
/// deleted, is not reported: another node may have reported it with other counts.
class usage_reporter {
public:
    usage_reporter(record_store& store, scheduler& time, event_log& log, duty_lease& lease,
                   const usage_tracker& usage, duty_calls& calls, usage_reporter_settings settings);

    void start();

private:
    void tick();
    void read_records();
    void on_records_read(const result<store_page>& page);
    void handle_read_failure(const error& reason);
    /// Reads the log anew from there. Records may have been missed; those that are known are kept.
    void start_over(log_offset first_retained);
    /// Whether the log contains the record of the window if there ever was one.
    [[nodiscard]] bool would_be_recorded(usage_window window) const;
    void append_counts(usage_window window);
    void on_append_done(usage_window window, const usage_counts& counts,
                        const result<append_answer>& answer);
    void report(usage_window window);
    void on_report_done(usage_window window, fencing_token token, const result<void>& answer);
    [[nodiscard]] std::optional<usage_window> next_due_window() const;
    /// Gives up a window that may have been reported by another node.
    void skip(usage_window window);
    void mark_finished(usage_window window);

    record_store& store;
    scheduler& time;
    event_log& log;
    duty_lease& lease;
    const usage_tracker& usage;
    duty_calls& calls;
    usage_reporter_settings settings;
    callback_scope scope;
    repeating_timer timer;
    std::optional<fencing_token> records_token; ///< token under which the records were read
    bool has_current_records = false;
    bool is_call_in_flight = false;
    std::optional<store_era> era; ///< of `end`; nothing before the first read
    log_offset end;               ///< end of the records read so far
    /// Since when nothing that was recorded has been missed, by this node's clock.
    wall_time complete_since;
    /// The earliest window with a record of the current era; records of later windows follow it.
    std::optional<usage_window> first_recorded;
    std::map<usage_window, usage_counts> records;
    std::set<usage_window> finished_windows; ///< reported or skipped by this node
};

} // namespace eelgrassbend

#endif
