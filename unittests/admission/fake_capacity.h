#ifndef EELGRASSBEND_UNITTESTS_ADMISSION_FAKE_CAPACITY_H
#define EELGRASSBEND_UNITTESTS_ADMISSION_FAKE_CAPACITY_H

#include "eelgrassbend/admission/capacity_source.h"

#include <map>

namespace eelgrassbend {

/// A fleet whose state the test sets.
class fake_capacity : public capacity_source {
public:
    [[nodiscard]] service_capacity capacity(const service_id& service,
                                            monotonic_time /*now*/) const override
    {
        return service == this->known_service ? this->known : service_capacity{};
    }

    [[nodiscard]] double node_count() const override { return this->nodes; }

    [[nodiscard]] double reporting_share() const override { return this->reporting; }

    [[nodiscard]] double admitted_units(const organisation_id& organisation) const override
    {
        const auto found = this->units.find(organisation);
        return found == this->units.end() ? 0.0 : found->second;
    }

    service_id known_service{"draft"};
    service_capacity known{10.0, 120.0, 60.0};
    double nodes = 1.0;
    double reporting = 1.0;
    std::map<organisation_id, double> units;
};

} // namespace eelgrassbend

#endif
