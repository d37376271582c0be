#ifndef EELGRASSBEND_STREAMS_STREAM_BASELINES_H
#define EELGRASSBEND_STREAMS_STREAM_BASELINES_H

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrassbend {

/// The baseline version of each service with resumable streams: a stream of which no origin is
/// recorded began at it. The baselines are in the store, in a topic shared with other records; the
/// holder of the duty lease writes them. A baseline is replaced only when no endpoint of its
/// version has been known for the lifetime of a stream, so that no stream without a record is left.
class stream_baselines {
public:
    stream_baselines(record_store& store, scheduler& time, event_log& log,
                     const endpoint_table& endpoints, store_topic topic);

    [[nodiscard]] static bool is_own_key(const std::string& key);
    void on_record_written(const std::string& key, const std::string& value);
    void on_record_removed(const std::string& key);

    /// All records of the topic have been reported.
    void on_caught_up() { this->has_all_records = true; }

    [[nodiscard]] bool has_read_records() const { return this->has_all_records; }

    void set_table(std::shared_ptr<const route_table> current);
    /// Notes which versions exist now. Called several times a second.
    void update();
    /// Writes a baseline that is missing or outdated. Called repeatedly by the holder of `token`.
    void synchronize(fencing_token token);

    [[nodiscard]] std::optional<software_version> find(const service_id& service) const;
    /// The same if this node has known it for longer than the store may delay a write: no other one
    /// is in force at another node then, and streams of it need no record.
    [[nodiscard]] std::optional<software_version> settled(const service_id& service) const;
    /// The version of all endpoints of the service for as long as a stream may last; nothing if
    /// there were several, or this node has not observed it for so long.
    [[nodiscard]] std::optional<software_version> single_version(const service_id& service) const;

    /// Longest time from the begin of a stream to the end of its last resumption.
    [[nodiscard]] duration stream_lifetime() const { return this->lifetime; }

private:
    struct baseline {
        software_version version;
        fencing_token token; ///< of the holder that wrote it
        monotonic_time known_since;
    };

    /// When an endpoint of each version was last known.
    using version_times = std::map<software_version, monotonic_time>;

    [[nodiscard]] std::optional<software_version> most_frequent(const service_id& service) const;
    [[nodiscard]] bool is_outdated(const service_id& service, const baseline& known) const;
    /// Takes a baseline unless a higher token has written one; returns whether it did.
    bool apply(const service_id& service, const software_version& version, fencing_token token);
    void append(const service_id& service, const software_version& version, fencing_token token);

    record_store& store;
    scheduler& time;
    event_log& log;
    const endpoint_table& endpoints;
    store_topic topic;
    std::shared_ptr<const route_table> table;
    duration lifetime;
    monotonic_time started_at;
    std::map<service_id, baseline> baselines;
    std::map<service_id, version_times> last_known;
    std::set<service_id> lost; ///< whose newest record in the store is not the known baseline
    bool has_all_records = false;
    bool is_appending = false;
    monotonic_time next_append;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
