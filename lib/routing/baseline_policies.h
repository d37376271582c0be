#ifndef EELGRASSBEND_LIB_ROUTING_BASELINE_POLICIES_H
#define EELGRASSBEND_LIB_ROUTING_BASELINE_POLICIES_H

#include "eelgrassbend/routing/routing_policy.h"

namespace eelgrassbend {

/// Selects an endpoint uniformly at random.
class random_policy : public routing_policy {
public:
    explicit random_policy(random_source& random) : random(random) {}

    [[nodiscard]] std::string_view name() const override { return "random"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    random_source& random;
};

/// Selects the endpoints in turn.
class round_robin_policy : public routing_policy {
public:
    [[nodiscard]] std::string_view name() const override { return "round_robin"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    std::size_t next = 0;
};

/// Selects the endpoint with the fewest in-flight attempts of this node; ties are broken by the
/// order from a random position.
class least_outstanding_policy : public routing_policy {
public:
    explicit least_outstanding_policy(random_source& random) : random(random) {}

    [[nodiscard]] std::string_view name() const override { return "least_outstanding"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    random_source& random;
};

/// Selects the one with fewer in-flight attempts of this node among two random endpoints.
class two_choices_policy : public routing_policy {
public:
    explicit two_choices_policy(random_source& random) : random(random) {}

    [[nodiscard]] std::string_view name() const override { return "two_choices"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    random_source& random;
};

} // namespace eelgrassbend

#endif
