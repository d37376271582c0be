#ifndef EELGRASSBEND_LIB_GATEWAY_GATEWAY_ROLLOUTS_H
#define EELGRASSBEND_LIB_GATEWAY_GATEWAY_ROLLOUTS_H

#include "eelgrassbend/gateway/gateway.h"
#include "eelgrassbend/gateway/group_exchange.h"
#include "eelgrassbend/rollout/rollout_controller.h"
#include "eelgrassbend/support/callback_scope.h"

#include "declaration_observers.h"

#include <memory>
#include <optional>

namespace eelgrassbend {

/// The roll-outs of one gateway: its table and, in case it holds the duty lease, the controller.
class gateway_rollouts : public rollout_order_observer {
public:
    gateway_rollouts(const gateway_dependencies& dependencies, const gateway_settings& settings,
                     const endpoint_table& endpoints, const load_model& loads);

    void start(const duty_lease& lease);

    [[nodiscard]] const rollout_models& models() const { return this->state; }

    bool on_order_written(const std::string& key, const std::string& value) override;
    bool on_order_removed(const std::string& key, bool after_gap) override;

private:
    gateway_dependencies dependencies;
    rollout_bounds bounds;
    bool has_duties; ///< competes for the duty lease
    const endpoint_table& endpoints;
    const load_model& loads;
    rollout_table table;
    rollout_evidence evidence;
    rollout_models state{this->table, this->evidence};
    std::optional<rollout_controller> controller;
    callback_scope scope;
};

/// Null if the settings or the dependencies call for no roll-outs.
std::unique_ptr<gateway_rollouts> make_gateway_rollouts(const gateway_dependencies& dependencies,
                                                        const gateway_settings& settings,
                                                        const endpoint_table& endpoints,
                                                        const load_model& loads);

} // namespace eelgrassbend

#endif
