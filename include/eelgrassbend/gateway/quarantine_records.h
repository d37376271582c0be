#ifndef EELGRASSBEND_GATEWAY_QUARANTINE_RECORDS_H
#define EELGRASSBEND_GATEWAY_QUARANTINE_RECORDS_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <optional>
#include <string>

namespace eelgrassbend {

/// Keeps the quarantined sets of prompt parts in the store, so that they survive a restart of all
/// nodes. The records share a topic with other ones; their keys have a prefix of their own.
class quarantine_records {
public:
    quarantine_records(record_store& store, scheduler& time, event_log& log,
                       part_quarantine& quarantine, store_topic topic);

    [[nodiscard]] static bool is_own_key(const std::string& key);
    void on_record_written(const std::string& key, const std::string& value);

    void on_record_removed(const std::string& key) { this->recorded_levels.erase(key); }

    /// Writes one set that the store lacks, or deletes the record of one that is no longer
    /// quarantined. One node of the fleet calls this repeatedly; calls by several do no harm.
    void synchronize();

private:
    void append(const std::string& key, std::optional<std::string> value, std::uint32_t level);

    record_store& store;
    scheduler& time;
    event_log& log;
    part_quarantine& quarantine;
    store_topic topic;
    std::map<std::string, std::uint32_t> recorded_levels; ///< by key
    bool is_appending = false;
    monotonic_time next_append;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
