#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_METRICS_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_METRICS_H

#include "eelgrassbend/metrics/metrics.h"

#include <map>
#include <string>

namespace eelgrassbend {

/// Keeps the newest value or the sum of each metric, over all labels.
class fake_metrics : public metrics {
public:
    void count(const std::string& name, const metric_labels&, double amount) override
    {
        this->values[name] += amount;
    }

    void set(const std::string& name, const metric_labels&, double value) override
    {
        this->values[name] = value;
    }

    void observe(const std::string& name, const metric_labels&, double) override
    {
        this->values[name] += 1;
    }

    std::map<std::string, double> values;
};

} // namespace eelgrassbend

#endif
