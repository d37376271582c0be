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
    std::optional<duration> leaves_in; ///< with `is_draining`, if a reclaim was announced
    int slots = 0;
    duration cold_left{};     ///< it stays slow for so long after its start
    std::int64_t started = 0; ///< tells incarnations under one id apart

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Whether a newer record says the same of an endpoint, but for time that has passed.
bool is_repeated(const endpoint_record& before, const endpoint_record& after);

/// An endpoint as this node knows it.
struct known_endpoint {
    endpoint_record record;
    monotonic_time heard;
    std::optional<monotonic_time> missing_since; ///< its record is gone, maybe for a moment only
};

/// The endpoints of all services, by their own records. An endpoint whose record vanished while
/// the store was away counts for a little longer, since a live one writes it again.
class endpoint_table {
public:
    /// The new record of an endpoint that changed state or incarnation, or that is gone.
    using observer = std::function<void(const endpoint_record&, bool is_gone)>;

    /// `missing_time`: how long an endpoint counts after its record was lost in a store outage.
    explicit endpoint_table(duration missing_time) : missing_time(missing_time) {}

    void put(const endpoint_record& record, monotonic_time now);
    void remove(const endpoint_id& id, monotonic_time now, bool after_gap);
    /// Forgets those whose records have stayed away.
    void expire(monotonic_time now);

    void on_change(observer handler) { this->changed = std::move(handler); }

    [[nodiscard]] const known_endpoint* find(const endpoint_id& id) const;
    /// Endpoints of a service that take new requests.
    [[nodiscard]] std::vector<const known_endpoint*> usable(const service_id& service,
                                                            monotonic_time now) const;

    [[nodiscard]] const std::map<endpoint_id, known_endpoint>& all() const { return this->known; }

private:
    void erase(const endpoint_id& id);

    duration missing_time;
    std::map<endpoint_id, known_endpoint> known;
    observer changed;
};

} // namespace eelgrassbend

#endif
