#ifndef EELGRASSBEND_LIB_ROUTING_BASELINE_POLICIES_H
#define EELGRASSBEND_LIB_ROUTING_BASELINE_POLICIES_H

#include "eelgrassbend/routing/routing_policy.h"

namespace eelgrassbend {

/// Any endpoint, each as likely as the others.
class random_policy : public routing_policy {
public:
    explicit random_policy(random_source& random) : random(random) {}

    [[nodiscard]] std::string_view name() const override { return "random"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    random_source& random;
};

/// One endpoint after the other.
class round_robin_policy : public routing_policy {
public:
    [[nodiscard]] std::string_view name() const override { return "round_robin"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    std::size_t next = 0;
};

/// The endpoint with the fewest attempts of this node; the first of equals in a rotating order.
class least_outstanding_policy : public routing_policy {
public:
    explicit least_outstanding_policy(random_source& random) : random(random) {}

    [[nodiscard]] std::string_view name() const override { return "least_outstanding"; }

    result<route_decision> choose(service_table& table, const route_request& request) override;

private:
    random_source& random;
};

/// The one with fewer attempts of this node among two at random.
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
