#ifndef EELGRASSBEND_METRICS_PROMETHEUS_METRICS_H
#define EELGRASSBEND_METRICS_PROMETHEUS_METRICS_H

#include "eelgrassbend/metrics/metrics.h"

#include <memory>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace eelgrassbend {

/// Keeps metrics in a prometheus-cpp registry.
class prometheus_metrics : public metrics {
public:
    prometheus_metrics();
    ~prometheus_metrics() override;

    void count(const std::string& name, const metric_labels& labels, double amount) override;
    void set(const std::string& name, const metric_labels& labels, double value) override;
    void observe(const std::string& name, const metric_labels& labels, double value) override;

    /// All metrics in the text form that Prometheus reads.
    [[nodiscard]] std::string text() const;

private:
    std::unique_ptr<prometheus::Registry> registry;
};

} // namespace eelgrassbend

#endif
