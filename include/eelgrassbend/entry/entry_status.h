#ifndef EELGRASSBEND_ENTRY_ENTRY_STATUS_H
#define EELGRASSBEND_ENTRY_ENTRY_STATUS_H

#include "eelgrassbend/serving/front.h"

#include <cstddef>
#include <functional>
#include <string>

namespace eelgrassbend {

class bundle_view;
class ledger;
class membership;
class platform_endpoint_directory;
class prometheus_metrics;

/// What an entry node tells of itself.
class entry_status : public node_status {
public:
    entry_status(const bundle_view& bundles, const membership& members,
                 const platform_endpoint_directory& endpoints, const ledger& usage_ledger,
                 prometheus_metrics& gauges);

    /// A planned stop has begun.
    void set_stopping() { this->is_stopping = true; }

    [[nodiscard]] std::string cannot_serve_reason() const override;

    [[nodiscard]] bool stopping() const override { return this->is_stopping; }

    [[nodiscard]] std::string metrics_text() const override;
    [[nodiscard]] std::string status_json() const override;

private:
    const bundle_view& bundles;
    const membership& members;
    const platform_endpoint_directory& endpoints;
    const ledger& usage_ledger;
    prometheus_metrics& gauges;
    bool is_stopping = false;
};

} // namespace eelgrassbend

#endif
