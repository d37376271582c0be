#ifndef EELGRASSBEND_STREAMS_ORIGIN_WRITER_H
#define EELGRASSBEND_STREAMS_ORIGIN_WRITER_H

#include "eelgrassbend/limits/token_bucket.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/streams/origin_batch.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

struct origin_writer_settings {
    node_id node;
    store_topic topic{"stream-origins", true};
    /// Appends per second that the store accepts from all nodes.
    double store_writes_per_second = 400.0;
    /// Part of them that the nodes may use for origins.
    double write_share = 0.7;
    /// Longest time that the begin of a stream waits for its record.
    duration max_wait = std::chrono::milliseconds{400};
};

/// Writes the origins of this node's streams to the store, in batches. Each batch is the record of
/// a key of this node, a slot. A slot is used again once its streams have ended, so the newest
/// records of the topic are all that is ever needed.
class origin_writer {
public:
    using written_handler = std::function<void()>;
    using node_count = std::function<std::size_t()>;

    origin_writer(record_store& store, scheduler& time, event_log& log, metrics& counters,
                  node_count count_nodes, origin_writer_settings settings);
    ~origin_writer();
    origin_writer(const origin_writer&) = delete;
    origin_writer& operator=(const origin_writer&) = delete;

    /// `lifetime`: of the stream. Calls `done` once the origin is written, or after `max_wait`; at
    /// once while the store does not answer in time.
    void write(stream_key key, const software_version& version, duration lifetime,
               written_handler done);

    /// Whether the store does not answer in time.
    [[nodiscard]] bool is_late() const { return this->is_store_late; }

private:
    struct pending_origin {
        stream_key key;
        software_version version;
        duration lifetime{};
        monotonic_time requested_at;
        written_handler done; ///< empty once called
    };

    struct slot {
        monotonic_time free_at;
    };

    /// Finds the slots of former processes of this node, before the first batch.
    void find_slots(const std::string& after);
    void handle_slots(const result<newest_page>& page);
    void adopt_slot(const store_record& record);
    [[nodiscard]] std::string key_prefix() const;
    void arm();
    void tick();
    [[nodiscard]] bool may_append();
    void append_batch();
    void handle_appended(const result<append_answer>& answer);
    /// The slot for the next batch; a new one if none is free.
    [[nodiscard]] std::size_t choose_slot();
    void end_waits();

    record_store& store;
    scheduler& time;
    event_log& log;
    metrics& counters;
    node_count count_nodes;
    origin_writer_settings settings;
    std::vector<slot> slots;
    bool has_slots = false; ///< the slots of former processes are known
    bool is_finding_slots = false;
    std::deque<pending_origin> pending;
    std::vector<pending_origin> in_flight; ///< of the append under way
    bool is_store_late = false; ///< an origin waited for `max_wait`, and none was written since
    token_bucket appends;
    monotonic_time next_append;
    std::optional<timer_id> timer;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
