#include "eelgrassbend/entry/entry_status.h"

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/platform_endpoint_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/metrics/prometheus_metrics.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

entry_status::entry_status(const bundle_view& bundles, const membership& members,
                           const platform_endpoint_directory& endpoints, const ledger& usage_ledger,
                           prometheus_metrics& gauges)
    : bundles(bundles),
      members(members),
      endpoints(endpoints),
      usage_ledger(usage_ledger),
      gauges(gauges)
{
}

std::string entry_status::cannot_serve_reason() const
{
    if (this->bundles.current()->version == bundle_version{0}) {
        return "no bundle is in force";
    }
    if (!this->endpoints.has_host_list()) {
        return "the host list has not been read";
    }
    if (this->endpoints.all().empty()) {
        return "no endpoint is known";
    }
    return {};
}

std::string entry_status::metrics_text() const
{
    this->gauges.set("eelgrassbend_bundle_version", {},
                     static_cast<double>(this->bundles.current()->version.value()));
    this->gauges.set("eelgrassbend_bundle_fresh", {}, this->bundles.fresh() ? 1.0 : 0.0);
    this->gauges.set("eelgrassbend_members", {},
                     static_cast<double>(this->members.peers().size() + 1));
    this->gauges.set("eelgrassbend_ledger_lines_waiting", {},
                     static_cast<double>(this->usage_ledger.waiting()));
    this->gauges.set("eelgrassbend_endpoints", {},
                     static_cast<double>(this->endpoints.all().size()));
    return this->gauges.text();
}

static const char* state_name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

std::string entry_status::status_json() const
{
    nlohmann::json peers = nlohmann::json::array();
    for (const auto& peer : this->members.peers()) {
        peers.push_back({{"node", peer.id.value()},
                         {"zone", peer.zone.value()},
                         {"state", state_name(peer.state)},
                         {"bundle_version", peer.bundle.value()}});
    }
    const auto reason = this->cannot_serve_reason();
    const nlohmann::json status{
        {"node", this->members.self().id.value()},
        {"zone", this->members.self().zone.value()},
        {"bundle_version", this->bundles.current()->version.value()},
        {"bundle_fresh", this->bundles.fresh()},
        {"ready", reason.empty() && !this->has_stop_begun && this->bundles.fresh()},
        {"reason", reason},
        {"stopping", this->has_stop_begun},
        {"ledger_lines_waiting", this->usage_ledger.waiting()},
        {"endpoints", this->endpoints.all().size()},
        {"peers", std::move(peers)}};
    return status.dump() + "\n";
}

} // namespace eelgrassbend
