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

/// What an endpoint says of itself in the store.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    network_address address;
    availability_zone zone;
    bool is_draining = false;
    bool is_reclaimable = false;
    std::optional<duration> reclaim_in; ///< with `is_draining`, if a reclaim was announced
    int slots = 0;
    duration cold_start_left{}; ///< it stays slow for so long after its start
    std::int64_t started = 0;   ///< tells incarnations under one id apart

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Whether a newer record says the same of an endpoint, but for time that has passed.
bool has_same_state(const endpoint_record& before, const endpoint_record& after);

/// An endpoint as this node knows it.
struct known_endpoint {
    endpoint_record record;
    monotonic_time received_at;
    std::optional<monotonic_time> missing_since; ///< its record is gone, maybe for a moment only
    std::optional<monotonic_time> paused_until;  ///< it asked this node to stay away
};

/// An incarnation of an endpoint.
struct endpoint_incarnation {
    endpoint_id endpoint;
    std::int64_t started = 0;

    friend bool operator==(const endpoint_incarnation&, const endpoint_incarnation&) = default;
};

/// The endpoints of all services, by their own records and by what they say with their answers. An
/// endpoint whose record vanished while the store was away counts for a little longer, since a live
/// one writes it again. An incarnation that has reported that it leaves stays leaving, whatever its
/// record says.
class endpoint_table {
public:
    /// The new record of an endpoint that changed state or incarnation, or that is gone.
    using change_handler = std::function<void(const endpoint_record&, bool is_gone)>;

    /// `missing_grace`: how long an endpoint counts after its record was lost in a store outage.
    explicit endpoint_table(duration missing_grace) : missing_grace(missing_grace) {}

    void put(const endpoint_record& written, monotonic_time now);
    void remove(const endpoint_id& id, monotonic_time now, bool after_gap);
    /// The endpoint reported in an answer to this node that it leaves.
    void mark_draining_from_answer(const endpoint_id& id, monotonic_time now);
    /// Another node heard that this incarnation leaves.
    void mark_draining_from_peer(const endpoint_incarnation& draining, monotonic_time now);
    /// The endpoint wants no requests of this node until then.
    void pause_work(const endpoint_id& id, monotonic_time until, monotonic_time now);
    /// Incarnations that told this node not long ago that they leave.
    [[nodiscard]] std::vector<endpoint_incarnation> draining_to_report(monotonic_time now) const;
    /// Forgets those whose records have stayed away.
    void expire(monotonic_time now);

    void on_change(change_handler handler) { this->handle_change = std::move(handler); }

    [[nodiscard]] const known_endpoint* find(const endpoint_id& id) const;
    /// Endpoints of a service that take new requests.
    [[nodiscard]] std::vector<const known_endpoint*> usable(const service_id& service,
                                                            monotonic_time now) const;

    [[nodiscard]] const std::map<endpoint_id, known_endpoint>& all() const
    {
        return this->endpoints;
    }

private:
    /// What an incarnation has reported in its answers; outlives its record, which may come back.
    struct reported_state {
        std::int64_t started = 0;
        bool is_draining = false;
        bool is_from_answer = false; ///< reported to this node
        std::optional<monotonic_time> paused_until;
        monotonic_time reported_at;
    };

    void erase(const endpoint_id& id);
    reported_state& reported_state_of(const known_endpoint& endpoint, monotonic_time now);
    void mark_draining(const endpoint_id& id, bool is_from_answer, monotonic_time now);

    duration missing_grace;
    std::map<endpoint_id, known_endpoint> endpoints;
    std::map<endpoint_id, reported_state> reported_states;
    change_handler handle_change;
};

} // namespace eelgrassbend

#endif
