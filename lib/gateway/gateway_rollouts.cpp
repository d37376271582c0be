#include "gateway_rollouts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::milliseconds;

/// Age of the holder's last confirmation at which a grant ends: a part of the time within which a
/// bad version must get no more requests, and several digests.
static constexpr double grant_timeout_fraction = 0.3;
static constexpr milliseconds max_grant_timeout{1500};

static duration grant_timeout(const rollout_bounds& bounds)
{
    return std::min<duration>(part_of(grant_timeout_fraction, bounds.rollback), max_grant_timeout);
}

gateway_rollouts::gateway_rollouts(const gateway_dependencies& dependencies,
                                   const gateway_settings& settings,
                                   const endpoint_table& endpoints, const load_model& loads)
    : dependencies(dependencies),
      bounds(*settings.bounds.rollout),
      has_duties(settings.cloud.has_value()),
      endpoints(endpoints),
      loads(loads),
      table(dependencies.random, grant_timeout(this->bounds))
{
}

void gateway_rollouts::start(const duty_lease& lease)
{
    this->table.on_phase([this](const known_rollout& rollout) {
        this->dependencies.log.write(log_level::info, "rollout_granted",
                                     {{"service", rollout.order.service.value()},
                                      {"target", rollout.order.target.value()},
                                      {"phase", phase_name(rollout.grant->phase)},
                                      {"share", rollout.grant->share},
                                      {"step", rollout.grant->step}});
    });
    if (this->has_duties) {
        this->controller.emplace(
            rollout_dependencies{this->dependencies.store, this->dependencies.time,
                                 this->dependencies.log, this->dependencies.counters, lease,
                                 this->endpoints, this->loads, *this->dependencies.rollouts,
                                 this->table, this->evidence},
            this->bounds);
        this->controller->start();
    }
}

bool gateway_rollouts::on_order_written(const std::string& key, const std::string& value)
{
    if (!this->dependencies.rollouts->order_service(key)) {
        return false;
    }
    const auto order = this->dependencies.rollouts->read_order(key, value);
    if (!order) {
        this->dependencies.log.write(log_level::error, "rollout_order_invalid",
                                     {{"error", order.error().to_string()}});
        return true;
    }
    if (this->table.put_order(order.value(), this->dependencies.time.now())) {
        this->dependencies.log.write(log_level::info, "rollout_ordered",
                                     {{"service", order.value().service.value()},
                                      {"target", order.value().target.value()},
                                      {"length_ms", whole_milliseconds(order.value().length)}});
    }
    return true;
}

// A record that is missing after an outage of the store may be written again.
bool gateway_rollouts::on_order_removed(const std::string& key, bool after_gap)
{
    const auto service = this->dependencies.rollouts->order_service(key);
    if (!service) {
        return false;
    }
    if (!after_gap) {
        this->table.remove_order(*service);
    }
    this->dependencies.log.write(log_level::warning, "rollout_withdrawn",
                                 {{"service", service->value()}, {"ignored", after_gap}});
    return true;
}

std::unique_ptr<gateway_rollouts> make_gateway_rollouts(const gateway_dependencies& dependencies,
                                                        const gateway_settings& settings,
                                                        const endpoint_table& endpoints,
                                                        const load_model& loads)
{
    if (!settings.bounds.rollout || dependencies.rollouts == nullptr) {
        return nullptr;
    }
    return std::make_unique<gateway_rollouts>(dependencies, settings, endpoints, loads);
}

} // namespace eelgrassbend
