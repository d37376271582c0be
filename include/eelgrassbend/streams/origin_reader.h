#ifndef EELGRASSBEND_STREAMS_ORIGIN_READER_H
#define EELGRASSBEND_STREAMS_ORIGIN_READER_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/streams/origin_index.h"
#include "eelgrassbend/streams/stream_baselines.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Reads the origins that all nodes have written into an index, only on demand: first the newest
/// record of each key, later the log from there on.
class origin_reader {
public:
    using handler = std::function<void(const result<void>&)>;

    origin_reader(record_store& store, scheduler& time, event_log& log, origin_index& index,
                  const stream_baselines& baselines, store_topic topic);

    /// Calls `done` once the index holds all that was written before this call. Calls during a read
    /// share the next one. Errors: those of `record_store`.
    void refresh(handler done);

    /// When this node noticed that the store was restored from an older copy; the origins of the
    /// time before may be lost.
    [[nodiscard]] std::optional<monotonic_time> restored_at() const { return this->restored; }

private:
    void begin();
    void list(const std::string& after);
    void handle_newest(const result<newest_page>& page);
    void read();
    void handle_page(const result<store_page>& page);
    /// Returns whether the answer belongs to another era than the position.
    bool notice_era(store_era found);
    void apply(const store_record& record);
    void finish(const result<void>& outcome);

    record_store& store;
    scheduler& time;
    event_log& log;
    origin_index& index;
    const stream_baselines& baselines;
    store_topic topic;
    std::optional<store_era> era;
    std::optional<log_offset> position;    ///< of the next read; nothing: newest records first
    std::optional<log_offset> listing_end; ///< end of the log at the first page of the listing
    std::optional<monotonic_time> restored;
    std::vector<handler> current; ///< wait for the read in flight
    std::vector<handler> next;    ///< wait for the one after it
    bool is_reading = false;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
