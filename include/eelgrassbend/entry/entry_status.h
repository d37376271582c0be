#ifndef EELGRASSBEND_ENTRY_ENTRY_STATUS_H
#define EELGRASSBEND_ENTRY_ENTRY_STATUS_H

#include "eelgrassbend/serving/entry_handler.h"

#include <cstddef>
#include <functional>
#include <string>

namespace eelgrassbend {

class bundle_view;
class ledger;
class membership;
class platform_endpoint_directory;
class prometheus_metrics;

/// Readiness, status and metrics of an entry node.
class entry_status : public node_status {
public:
    entry_status(const bundle_view& bundles, const membership& members,
                 const platform_endpoint_directory& endpoints, const ledger& usage_ledger,
                 prometheus_metrics& gauges);

    /// Marks the node as stopping, at the start of a planned stop.
    void set_stopping() { this->has_stop_begun = true; }

    [[nodiscard]] std::string cannot_serve_reason() const override;

    [[nodiscard]] bool is_stopping() const override { return this->has_stop_begun; }

    [[nodiscard]] std::string metrics_text() const override;
    [[nodiscard]] std::string status_json() const override;

private:
    const bundle_view& bundles;
    const membership& members;
    const platform_endpoint_directory& endpoints;
    const ledger& usage_ledger;
    prometheus_metrics& gauges;
    bool has_stop_begun = false;
};

} // namespace eelgrassbend

#endif
