#include "eelgrassbend/metrics/prometheus_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <vector>

namespace eelgrassbend {

/// Upper bounds in seconds; the targets of 51 ms and 2 s are among them.
static const std::vector<double> time_buckets{0.001, 0.0025, 0.005, 0.01, 0.025, 0.051, 0.1,
                                              0.25,  0.5,    1.0,   2.0,  5.0,   15.0,  60.0};

prometheus_metrics::prometheus_metrics() : registry(std::make_unique<prometheus::Registry>()) {}

prometheus_metrics::~prometheus_metrics() = default;

// Families and their members are found again by name and labels, so no handle is kept.
void prometheus_metrics::count(const std::string& name, const metric_labels& labels, double amount)
{
    auto& family = prometheus::BuildCounter().Name(name).Register(*this->registry);
    family.Add(labels).Increment(amount);
}

void prometheus_metrics::set(const std::string& name, const metric_labels& labels, double value)
{
    auto& family = prometheus::BuildGauge().Name(name).Register(*this->registry);
    family.Add(labels).Set(value);
}

void prometheus_metrics::observe(const std::string& name, const metric_labels& labels, double value)
{
    auto& family = prometheus::BuildHistogram().Name(name).Register(*this->registry);
    family.Add(labels, time_buckets).Observe(value);
}

std::string prometheus_metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(this->registry->Collect());
}

} // namespace eelgrassbend
