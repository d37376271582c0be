#ifndef EELGRASSBEND_ADMISSION_FAIR_SHARES_H
#define EELGRASSBEND_ADMISSION_FAIR_SHARES_H

#include "eelgrassbend/admission/capacity_source.h"
#include "eelgrassbend/admission/served_share.h"

#include <map>
#include <optional>
#include <set>

namespace eelgrassbend {

/// Max-min fair shares of the slots for organisations: one that asks for less than an even share
/// gets all it asks for, and what it leaves is divided among the others. The use of an organisation
/// over the fleet follows from its running total of quota units; the slot time of a unit, and the
/// part of its requests that are admitted, are learned from the requests at this node.
class fair_shares {
public:
    void record_asked(const organisation_id& id, monotonic_time now);
    void record_admitted(const organisation_id& id, monotonic_time now);
    void record_ended(const organisation_id& id, double units, duration taken);

    /// Updates the shares if the last update is old enough. `total` is the capacity of all
    /// services.
    void update(const capacity_source& fleet, const service_capacity& total, monotonic_time now);
    /// Forgets all organisations but these.
    void retain(const std::set<organisation_id>& declared);

    /// Use of the organisation relative to its fair share; zero if all can get what
    /// they ask for.
    [[nodiscard]] double relative_use(const organisation_id& id) const;
    /// Part of the organisation's recent requests that were admitted, relative to that of all;
    /// empty while too few are known.
    [[nodiscard]] std::optional<double> relative_service(const organisation_id& id,
                                                         monotonic_time now) const;

private:
    struct account {
        served_share served{served_memory};
        double units = 0.0;   ///< of recent ended requests
        double seconds = 0.0; ///< in slots
        std::optional<double> last_total;
        double unit_rate = 0.0; ///< admitted by the fleet, per second
        double used = 0.0;      ///< slots
        double asked = 0.0;     ///< slots
    };

    static constexpr std::chrono::seconds served_memory{6};

    void update_use(account& known, double total_units, double span) const;
    [[nodiscard]] double fair_level(double capacity) const;

    std::map<organisation_id, account> accounts;
    served_share all_served{served_memory};
    double all_units = 0.0;
    double all_seconds = 0.0;
    double level = 0.0;       ///< slots of an organisation that asks for more; zero: no limit
    double average_use = 0.0; ///< slots
    std::optional<monotonic_time> updated_at;
};

} // namespace eelgrassbend

#endif
