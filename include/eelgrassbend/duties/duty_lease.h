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
    /// The holder stops this long before the lease ends, to allow for a renewal in flight and a
    /// paused process.
    duration expiry_margin = std::chrono::milliseconds{500};
};

/// The state of the other candidates for the lease, as known to this node.
class duty_candidates {
public:
    virtual ~duty_candidates() = default;
    /// Whether another live node reports that it holds the lease.
    [[nodiscard]] virtual bool has_other_holder() const = 0;
    /// Number of nodes that take precedence over this one.
    [[nodiscard]] virtual std::size_t rank() const = 0;
    /// The highest fencing token that another node has reported; zero if none has.
    [[nodiscard]] virtual fencing_token highest_token() const = 0;
};

/// The exclusive lease for the duties that one node performs for the whole system: to report usage
/// and to scale services. A log in the store arbitrates: the node that appends at its end holds the
/// lease. A candidate first observes the end for a full lease time; a live holder has moved it by
/// then. A store that is restored from an older copy gives offsets out again, so the era of the
/// store and the offset together determine the fencing token, and what was observed in one era
/// does not count in another. Where the store does not state its era, a claim exceeds the tokens
/// that the other nodes have reported.
class duty_lease {
public:
    duty_lease(record_store& store, scheduler& time, event_log& log,
               const duty_candidates& candidates, duty_lease_settings settings);

    void start();
    /// Stops competing for the lease and lets it expire.
    void resign();
    /// The current fencing token; empty unless this node certainly holds the lease.
    [[nodiscard]] std::optional<fencing_token> token() const;
    /// Called when the receiver of a call, such as the platform, has rejected `token` because it
    /// received a higher one.
    void on_fenced_off(fencing_token token);

private:
    void tick();
    void read_log_end();
    void on_log_read(const result<store_page>& page);
    void handle_read_failure(const error& reason);
    void append_record(bool is_renewal);
    /// Number of records that a claim appends, so that its token exceeds all that are known.
    [[nodiscard]] std::size_t records_of_claim() const;
    void on_append_done(monotonic_time requested_at, bool is_renewal,
                        const result<append_answer>& answer);
    void handle_append_failure(bool is_renewal, const error& reason);
    void acquire(const append_answer& answer);
    void release(const char* reason);
    /// The log is that of a later era of the store than the one that was read before.
    void begin_era(store_era begun, log_offset log_end);

    record_store& store;
    scheduler& time;
    event_log& log;
    const duty_candidates& candidates;
    duty_lease_settings settings;
    callback_scope scope;
    repeating_timer timer;
    std::optional<fencing_token> held_token;
    fencing_token highest_held; ///< by this node
    monotonic_time started_at;
    monotonic_time renewed_at;
    std::optional<store_era> era;                  ///< of `end`; nothing before the first read
    bool knows_earlier_era = false;                ///< `era` is not the first one observed
    log_offset end;                                ///< end of the log at the last read or append
    std::optional<monotonic_time> unchanged_since; ///< time since which `end` is unchanged
    bool is_call_in_flight = false;
    bool is_resigned = false;
};

} // namespace eelgrassbend

#endif
