#ifndef EELGRASSBEND_METRICS_METRICS_H
#define EELGRASSBEND_METRICS_METRICS_H

#include <map>
#include <string>

namespace eelgrassbend {

using metric_labels = std::map<std::string, std::string>;

/// Takes counts and measurements. Names end in their unit, as Prometheus wants it.
class metrics {
public:
    virtual ~metrics() = default;
    virtual void count(const std::string& name, const metric_labels& labels, double amount) = 0;
    virtual void set(const std::string& name, const metric_labels& labels, double value) = 0;
    /// Times in seconds.
    virtual void observe(const std::string& name, const metric_labels& labels, double value) = 0;
};

} // namespace eelgrassbend

#endif
