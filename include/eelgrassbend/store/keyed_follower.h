#ifndef EELGRASSBEND_STORE_KEYED_FOLLOWER_H
#define EELGRASSBEND_STORE_KEYED_FOLLOWER_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/store/topic_relay.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrassbend {

struct follower_settings {
    /// Longest time that a read waits at the store for a record.
    duration max_wait = std::chrono::seconds{2};
    /// Pause between reads; batches the records of a topic that changes often, as each read call
    /// has a cost.
    duration pause{};
    /// First pause after a failed call; doubles up to the maximum, with jitter.
    duration retry_pause = std::chrono::milliseconds{100};
    duration max_retry_pause = std::chrono::milliseconds{800};
    /// With a relay: age of the last confirmation after which this node reads itself.
    duration relay_timeout = std::chrono::seconds{2};
    /// Time for which a gap in the relayed positions may be closed by later ones before this node
    /// reads itself.
    duration gap_timeout{};
};

/// Receives the records of a keyed topic in the order of their offsets.
class keyed_observer {
public:
    virtual ~keyed_observer() = default;
    /// Returns whether the record changed anything; a repeated record does not.
    virtual bool on_record_written(const std::string& key, const std::string& value) = 0;
    /// `after_gap`: the store is failing or recovered less than `record_rewrite_time` ago, as seen
    /// by the node that read the record. The record may have expired only because its writer could
    /// not renew it.
    virtual void on_record_removed(const std::string& key, bool after_gap) = 0;

    /// Records may have been missed; the newest ones are reported next.
    virtual void on_records_missed() {}

    /// Everything that was written before `as_of` has been reported.
    virtual void on_caught_up(monotonic_time as_of) = 0;
};

/// Follows a keyed topic: first the newest record of each key, then the log from there on. Starts
/// over with the newest records when the log does not reach back far enough, or was restored from
/// an older copy; after that, nothing is confirmed until lost records have been written again. If
/// another node reads the log on behalf of this one, this node reads the log only when nothing was
/// confirmed for `relay_timeout` or when a gap in the positions persists (see `gap_timeout`). While
/// a page of the newest records after the first cannot be read, the log is followed without
/// confirmations.
class keyed_follower {
public:
    keyed_follower(record_store& store, scheduler& time, random_source& random, event_log& log,
                   metrics& counters, topic_relay& relay, store_topic topic,
                   follower_settings settings, keyed_observer& observer);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;

    void start();
    /// Applies a position read by another node. `as_of`: everything written before it is included;
    /// nothing if unknown.
    void handle_position(const topic_position& position, std::optional<monotonic_time> as_of);

    [[nodiscard]] const store_topic& followed_topic() const { return this->topic; }

    /// Whether this node's own last call failed.
    [[nodiscard]] bool is_failing() const { return this->has_failed; }

    /// Start of the newest successful read, by this node or by the relay's reader; nothing before
    /// the first one.
    [[nodiscard]] std::optional<monotonic_time> fresh_as_of() const
    {
        return this->confirmed_as_of;
    }

private:
    /// A position received before the one that precedes it.
    struct early_position {
        topic_position position;
        std::optional<monotonic_time> as_of;
    };

    void read_newest(const std::string& after);
    void retry_newest_page();
    void stop_reading();
    /// Longest wait of the next read at the store.
    [[nodiscard]] duration next_wait();
    void handle_page_failure(const error& reason);
    void follow_without_page();
    void handle_newest_page(monotonic_time requested_at, const result<newest_page>& page);
    void finish_newest();
    void read_log();
    void handle_log_page(monotonic_time requested_at, const result<store_page>& page);
    /// The log does not have the next offset any more, or not yet again.
    void handle_lost_position(const store_page& page);
    /// An answer shows that the store was restored from an older copy.
    void begin_era(store_era begun);
    void handle_restored();
    /// Another node relays positions of another era.
    void handle_other_era(store_era relayed);
    void read_or_wait();
    void apply_position(const topic_position& position, std::optional<monotonic_time> as_of);
    void read_if_behind();
    void read_now();
    [[nodiscard]] bool is_behind() const;
    /// Continues after a partial page; `has_advanced`: the page had records.
    void read_rest(bool has_advanced);
    void publish_positions(monotonic_time requested_at, bool reaches_end);
    /// Returns whether the record changed anything; a repeated record does not.
    bool apply(const store_record& record, bool after_gap);
    /// Time for which this node can rely on the relay.
    [[nodiscard]] duration relay_time_left() const;
    void record_success();
    /// Everything that was written before `as_of` has been reported.
    void confirm(monotonic_time as_of);
    void handle_failure(const error& reason);
    void record_failure(const error& reason);
    /// Half to all of `pause`, which doubles up to the maximum.
    [[nodiscard]] duration next_pause(duration& pause);
    void schedule(duration pause, void (keyed_follower::*step)());
    void restart();
    [[nodiscard]] bool is_after_gap() const;

    record_store& store;
    scheduler& time;
    random_source& random;
    event_log& log;
    metrics& counters;
    topic_relay& relay;
    store_topic topic;
    follower_settings settings;
    keyed_observer& observer;
    callback_scope scope;
    std::optional<timer_id> timer;
    std::optional<timer_id> page_timer; ///< for an unreadable page while the log is followed
    std::set<std::string> keys;         ///< keys that have a value, as far as reported
    /// While the newest records are read: offset of the newest record of each key so far.
    std::map<std::string, log_offset> listed;
    bool is_listing = false;
    std::uint64_t listing = 0;    ///< number of the newest listing
    std::optional<store_era> era; ///< of all offsets here; nothing before the first answer
    std::string page_start_key;   ///< key before the page that is being read
    std::optional<log_offset> snapshot_end; ///< end of the log at the first page
    std::optional<log_offset> next_offset;  ///< of the next read; nothing: newest records first
    std::optional<monotonic_time> confirmed_as_of;
    monotonic_time snapshot_requested_at;
    std::optional<monotonic_time> restarted_at; ///< start of the last listing
    std::optional<monotonic_time> restored_at;  ///< when this node noticed a restored store
    /// First success after a failed call; see `is_after_gap`.
    std::optional<monotonic_time> recovered_at;
    duration next_retry{};
    duration next_page_retry{};
    relay_window window;
    std::optional<monotonic_time> behind_since;           ///< start of the gap in relayed positions
    std::map<log_offset, early_position> early_positions; ///< beyond the gap
    bool skip_next_wait = false;                          ///< the next read returns at once
    std::optional<monotonic_time> relay_confirmed_at;     ///< newest confirmation by another node
    bool has_failed = false;
};

} // namespace eelgrassbend

#endif
