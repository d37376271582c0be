#ifndef EELGRASSBEND_ROUTES_ROUTE_TABLE_H
#define EELGRASSBEND_ROUTES_ROUTE_TABLE_H

#include "eelgrassbend/routes/routing_configuration.h"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace eelgrassbend {

/// A routing configuration with its indexes. Immutable; each request uses the table under which it
/// was admitted.
class route_table {
public:
    explicit route_table(routing_configuration configuration);
    ~route_table() = default;
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /// The route of `host` with the longest prefix of `path`; null if there is none.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    /// The organisation that `key` belongs to; null if there is none.
    [[nodiscard]] const organisation* find_organisation(const std::string& key) const;
    [[nodiscard]] const routed_service* find_service(const service_id& id) const;

    /// The shortest objective of a service's streams; empty if it has none.
    [[nodiscard]] std::optional<duration> min_stream_objective(const service_id& id) const;

    /// Whether slots limit the engines of any service, see `engine_traits::is_slot_bound`.
    [[nodiscard]] bool has_slot_bound_service() const { return this->is_any_slot_bound; }

    [[nodiscard]] configuration_version version() const { return this->declared.version; }

    [[nodiscard]] const routing_configuration& configuration() const { return this->declared; }

private:
    routing_configuration declared;
    std::unordered_map<std::string, std::vector<const route*>> by_host; ///< longest prefix first
    std::unordered_map<std::string, const organisation*> by_key;
    std::unordered_map<service_id, const routed_service*> by_service;
    /// Shortest objective of the streams of each service.
    std::unordered_map<service_id, duration> min_stream_objectives;
    bool is_any_slot_bound = false;
};

/// Selects a service of the route's split by weight; `draw` is a random number in [0, 1).
const service_id& select_service(const route& chosen, double draw);

} // namespace eelgrassbend

#endif
