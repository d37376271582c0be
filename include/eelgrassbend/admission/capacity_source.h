#ifndef EELGRASSBEND_ADMISSION_CAPACITY_SOURCE_H
#define EELGRASSBEND_ADMISSION_CAPACITY_SOURCE_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

namespace eelgrassbend {

class endpoint_table;
class fleet_quota;
class load_model;

/// Slots of a service over all usable endpoints, and the requests of all nodes there.
struct service_capacity {
    double endpoints = 0.0;
    double slots = 0.0;
    double running = 0.0;
};

/// What admission needs to know of the fleet.
class capacity_source {
public:
    virtual ~capacity_source() = default;
    [[nodiscard]] virtual service_capacity capacity(const service_id& service,
                                                    monotonic_time now) const = 0;
    /// Number of nodes that serve callers, counting this one.
    [[nodiscard]] virtual double node_count() const = 0;
    /// Share of the serving nodes that report to this one, in (0, 1].
    [[nodiscard]] virtual double reporting_share() const = 0;
    /// Running total of the quota units that the fleet has admitted for an organisation.
    [[nodiscard]] virtual double admitted_units(const organisation_id& organisation) const = 0;
};

/// The fleet as this node's endpoint table, load model and quotas show it.
class fleet_capacity : public capacity_source {
public:
    fleet_capacity(const endpoint_table& endpoints, const load_model& loads,
                   const fleet_quota& quotas);

    [[nodiscard]] service_capacity capacity(const service_id& service,
                                            monotonic_time now) const override;
    [[nodiscard]] double node_count() const override;
    [[nodiscard]] double reporting_share() const override;
    [[nodiscard]] double admitted_units(const organisation_id& organisation) const override;

private:
    const endpoint_table& endpoints;
    const load_model& loads;
    const fleet_quota& quotas;
};

} // namespace eelgrassbend

#endif
