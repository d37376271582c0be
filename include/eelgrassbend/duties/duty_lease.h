#ifndef EELGRASSBEND_DUTIES_DUTY_LEASE_H
#define EELGRASSBEND_DUTIES_DUTY_LEASE_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/repeating_timer.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <optional>

namespace eelgrassbend {

struct duty_lease_settings {
    node_id node;
    store_topic topic{"duty-lease", false};
    duration lease_time = std::chrono::seconds{3};
    duration renewal_interval = std::chrono::milliseconds{1200};
    /// The holder stops so long before the end: for a renewal on its way and a paused process.
    duration expiry_margin = std::chrono::milliseconds{500};
};

/// What a node sees of the other candidates.
class duty_candidates {
public:
    virtual ~duty_candidates() = default;
    /// Whether another node that is alive says that it holds the duties.
    [[nodiscard]] virtual bool has_other_holder() const = 0;
    /// Number of nodes that should try before this one.
    [[nodiscard]] virtual std::size_t rank() const = 0;
};

/// The right to carry out the duties of the whole system, one node at a time. A log in the store
/// decides: whoever appends at its end has the lease, and the offset is the fencing token. Who
/// wants it watches the end for a whole lease first; a holder that lives has moved it by then.
class duty_lease {
public:
    duty_lease(record_store& store, scheduler& time, event_log& log,
               const duty_candidates& candidates, duty_lease_settings settings);

    void start();
    /// Does not try to get the lease any more and lets it lapse.
    void resign();
    /// The token to act under; nothing if this node does not hold the lease for sure.
    [[nodiscard]] std::optional<fencing_token> token() const;
    /// Somebody who checks tokens has seen a higher one.
    void on_fenced_off(fencing_token token);

private:
    void tick();
    void read_log_end();
    void on_log_read(const result<store_page>& page);
    void append_record(bool is_renewal);
    void on_append_done(monotonic_time requested_at, bool is_renewal,
                        const result<append_answer>& answer);
    void release(const char* reason);

    record_store& store;
    scheduler& time;
    event_log& log;
    const duty_candidates& candidates;
    duty_lease_settings settings;
    callback_scope scope;
    repeating_timer timer;
    std::optional<fencing_token> held_token;
    monotonic_time started_at;
    monotonic_time renewed_at;
    log_offset end;                                ///< of the log, as seen last
    std::optional<monotonic_time> unchanged_since; ///< the end has not moved since then
    bool is_call_in_flight = false;
    bool is_resigned = false;
};

} // namespace eelgrassbend

#endif
