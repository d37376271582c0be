#include "eelgrassbend/routes/route_table.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace eelgrassbend {

/// Host names are case-insensitive and ports are not used to select a route.
static std::string normalize_host(std::string_view host)
{
    return boost::algorithm::to_lower_copy(std::string{host.substr(0, host.find(':'))});
}

route_table::route_table(routing_configuration configuration) : declared(std::move(configuration))
{
    for (const auto& entry : this->declared.routes) {
        this->by_host[normalize_host(entry.host)].push_back(&entry);
        if (entry.kind != request_kind::stream || entry.objective <= duration::zero()) {
            continue;
        }
        for (const auto& share : entry.split) {
            const auto [known, is_new] =
                this->min_stream_objectives.emplace(share.service, entry.objective);
            known->second = std::min(known->second, entry.objective);
        }
    }
    for (auto& [host, routes] : this->by_host) {
        std::sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return std::pair{right->path_prefix.size(), left->path_prefix} <
                   std::pair{left->path_prefix.size(), right->path_prefix};
        });
    }
    for (const auto& entry : this->declared.organisations) {
        for (const auto& key : entry.keys) {
            this->by_key.emplace(key, &entry);
        }
    }
    for (const auto& entry : this->declared.services) {
        this->by_service.emplace(entry.id, &entry);
        this->is_any_slot_bound =
            this->is_any_slot_bound || (entry.engine && entry.engine->is_slot_bound());
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = this->by_host.find(normalize_host(host));
    if (found == this->by_host.end()) {
        return nullptr;
    }
    for (const auto* entry : found->second) {
        if (path.starts_with(entry->path_prefix)) {
            return entry;
        }
    }
    return nullptr;
}

const organisation* route_table::find_organisation(const std::string& key) const
{
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

const routed_service* route_table::find_service(const service_id& id) const
{
    const auto found = this->by_service.find(id);
    return found == this->by_service.end() ? nullptr : found->second;
}

std::optional<duration> route_table::min_stream_objective(const service_id& id) const
{
    const auto found = this->min_stream_objectives.find(id);
    return found == this->min_stream_objectives.end() ? std::nullopt : std::optional{found->second};
}

const service_id& select_service(const route& chosen, double draw)
{
    assert(!chosen.split.empty() && "a route has a service");
    double total = 0.0;
    for (const auto& share : chosen.split) {
        total += share.weight;
    }
    double remaining = draw * total;
    for (const auto& share : chosen.split) {
        remaining -= share.weight;
        if (remaining < 0.0) {
            return share.service;
        }
    }
    return chosen.split.back().service;
}

} // namespace eelgrassbend
