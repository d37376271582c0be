#ifndef EELGRASSBEND_PLACEMENT_ENDPOINT_TABLE_H
#define EELGRASSBEND_PLACEMENT_ENDPOINT_TABLE_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Version of the software that an endpoint runs.
using software_version = strong_type<struct software_version_tag, std::string>;

/// Number of a record among those that one incarnation of an endpoint writes; rises with each.
using record_sequence = strong_number<struct record_sequence_tag, std::uint64_t>;

/// The record that an endpoint publishes about itself in the store.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    network_address address;
    availability_zone zone;
    software_version version; ///< empty if it publishes none
    bool is_draining = false;
    bool is_reclaimable = false;
    /// With `is_draining`: time until the platform takes the host back, as last reported by the
    /// endpoint; empty if none was announced, zero if the endpoint did not answer the query.
    std::optional<duration> reclaim_in;
    int slots = 0;
    duration cold_start_left{}; ///< time until it reaches its normal speed
    /// Wall clock start in milliseconds; distinguishes incarnations under one id. 0 if unknown.
    std::int64_t started = 0;
    std::optional<record_sequence> sequence;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Whether two records are equal except for the remaining cold start time and their number.
bool has_same_state(const endpoint_record& before, const endpoint_record& after);

/// An endpoint record with the state that this node derives for it.
struct known_endpoint {
    endpoint_record record;
    monotonic_time received_at;
    std::optional<monotonic_time> missing_since; ///< its record is gone, possibly briefly
    std::optional<monotonic_time> paused_until;  ///< it requested no work from this node until then
    /// Whether an answer has shown that it accepts work since this node found its record, or since
    /// the record was missing or may have been.
    bool is_checked = true;
    std::optional<monotonic_time> usable_until; ///< without a check
};

/// An incarnation of an endpoint.
struct endpoint_incarnation {
    endpoint_id endpoint;
    std::int64_t started = 0;

    friend bool operator==(const endpoint_incarnation&, const endpoint_incarnation&) = default;
};

/// The endpoints of all services, from their records in the store and from the state that they
/// report with their answers. An endpoint whose record is lost in a store outage stays usable for a
/// grace period, since a live endpoint writes its record again. An incarnation that has reported
/// that it drains stays draining even if its record says otherwise. A record that is older than one
/// received before is ignored, as the store may execute a write late. For the same reason a record
/// alone does not make an endpoint usable: a table with a handler for checks waits for the result.
class endpoint_table {
public:
    /// Receives the record of an endpoint that changed state or incarnation, or was removed. An
    /// endpoint whose address changes is first reported as gone with its previous record.
    using change_handler = std::function<void(const endpoint_record&, bool is_gone)>;
    /// Receives the record of an endpoint that is not used until `mark_checked`.
    using check_handler = std::function<void(const endpoint_record&)>;

    /// `missing_grace`: how long an endpoint stays usable after its record is lost in a store
    /// outage.
    explicit endpoint_table(duration missing_grace) : missing_grace(missing_grace) {}

    /// Returns false if the record is outdated and was ignored.
    bool put(const endpoint_record& written, monotonic_time now);
    /// Removes an endpoint whose record is gone. With `after_gap`, the store or the connection to
    /// it failed shortly before, so an endpoint that is not draining stays for the grace period.
    void remove(const endpoint_id& id, monotonic_time now, bool after_gap);
    /// The endpoint reported in an answer to this node that it drains.
    void mark_draining_from_answer(const endpoint_id& id, monotonic_time now);
    /// An answer of this incarnation has shown that it accepts work.
    void mark_checked(const endpoint_incarnation& checked);
    /// Records may have been missed: all endpoints are checked again, and stay usable meanwhile for
    /// the grace period.
    void check_all(monotonic_time now);
    /// Another node reported that this incarnation drains.
    void mark_draining_from_peer(const endpoint_incarnation& draining, monotonic_time now);
    /// The endpoint requested no new work from this node before `until`.
    void pause_work(const endpoint_id& id, monotonic_time until, monotonic_time now);
    /// Incarnations that recently reported to this node that they drain.
    [[nodiscard]] std::vector<endpoint_incarnation> draining_to_report(monotonic_time now) const;
    /// Removes endpoints whose records have been missing for longer than the grace period.
    void expire(monotonic_time now);

    void on_change(change_handler handler) { this->handle_change = std::move(handler); }

    /// Without a handler, all endpoints count as checked.
    void on_unchecked(check_handler handler) { this->handle_unchecked = std::move(handler); }

    [[nodiscard]] const known_endpoint* find(const endpoint_id& id) const;
    /// Endpoints of a service that accept new requests.
    [[nodiscard]] std::vector<const known_endpoint*> usable(const service_id& service,
                                                            monotonic_time now) const;
    /// The version of all endpoints of the service, draining ones included; nothing if there are
    /// several.
    [[nodiscard]] std::optional<software_version> only_version(const service_id& service) const;
    /// Whether an endpoint of the service runs this version and does not drain.
    [[nodiscard]] bool has_version(const service_id& service,
                                   const software_version& version) const;
    /// Whether an endpoint of the service may become usable by a check.
    [[nodiscard]] bool awaits_check(const service_id& service) const;

    [[nodiscard]] const std::map<endpoint_id, known_endpoint>& all() const
    {
        return this->endpoints;
    }

private:
    /// State that an incarnation reported in its answers; outlives its record, which may be
    /// restored.
    struct reported_state {
        std::int64_t started = 0;
        bool is_draining = false;
        bool is_from_answer = false; ///< reported to this node
        std::optional<monotonic_time> paused_until;
        monotonic_time reported_at;
    };

    /// Version of the newest record of an endpoint; outlives the endpoint, as an older record may
    /// be written after the removal.
    struct record_version {
        std::int64_t started = 0;
        std::optional<record_sequence> sequence;
        monotonic_time received_at;
    };

    [[nodiscard]] bool is_outdated(const endpoint_record& written) const;
    void require_check(known_endpoint& entry, std::optional<monotonic_time> usable_until);
    void erase(const endpoint_id& id);
    reported_state& reported_state_of(const known_endpoint& endpoint, monotonic_time now);
    void mark_draining(const endpoint_id& id, bool is_from_answer, monotonic_time now);

    duration missing_grace;
    std::map<endpoint_id, known_endpoint> endpoints;
    std::map<endpoint_id, reported_state> reported_states;
    std::map<endpoint_id, record_version> newest_versions;
    change_handler handle_change;
    check_handler handle_unchecked;
};

} // namespace eelgrassbend

#endif
