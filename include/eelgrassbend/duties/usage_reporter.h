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
/// record of a window is authoritative, and every report of the window repeats it.
class usage_reporter {
public:
    usage_reporter(record_store& store, scheduler& time, event_log& log, duty_lease& lease,
                   const usage_tracker& usage, duty_calls& calls, usage_reporter_settings settings);

    void start();

private:
    void tick();
    void read_records();
    void on_records_read(const result<store_page>& page);
    void append_counts(usage_window window);
    void on_append_done(usage_window window, const usage_counts& counts,
                        const result<append_answer>& answer);
    void report(usage_window window);
    void on_report_done(usage_window window, fencing_token token, const result<void>& answer);
    [[nodiscard]] std::optional<usage_window> next_due_window() const;

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
    log_offset end; ///< end of the records read so far
    std::map<usage_window, usage_counts> records;
    std::set<usage_window> finished_windows; ///< reported by this node
};

} // namespace eelgrassbend

#endif
