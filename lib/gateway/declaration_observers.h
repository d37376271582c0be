#ifndef EELGRASSBEND_LIB_GATEWAY_DECLARATION_OBSERVERS_H
#define EELGRASSBEND_LIB_GATEWAY_DECLARATION_OBSERVERS_H

#include "eelgrassbend/gateway/declaration_reader.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/store/keyed_follower.h"

#include <functional>
#include <memory>

namespace eelgrassbend {

/// Receives the orders for roll-outs among the operators' records.
class rollout_order_observer {
public:
    virtual ~rollout_order_observer() = default;
    /// Returns whether the key is that of an order.
    virtual bool on_order_written(const std::string& key, const std::string& value) = 0;
    virtual bool on_order_removed(const std::string& key, bool after_gap) = 0;
};

/// Applies the configurations that operators write. Versions older than the current one are
/// ignored, so that a node never reverts.
class configuration_observer : public keyed_observer {
public:
    using table_handler = std::function<void(std::shared_ptr<const route_table>)>;
    /// Called with the time up to which all configuration changes have been applied.
    using confirmed_handler = std::function<void(monotonic_time)>;

    configuration_observer(const declaration_reader& declared, event_log& log,
                           table_handler on_table, confirmed_handler on_confirmed,
                           rollout_order_observer* rollouts = nullptr);

    bool on_record_written(const std::string& key, const std::string& value) override;
    void on_record_removed(const std::string& key, bool after_gap) override;
    void on_caught_up(monotonic_time as_of) override;

private:
    const declaration_reader& declared;
    event_log& log;
    table_handler on_table;
    confirmed_handler on_confirmed;
    rollout_order_observer* rollouts; ///< may be null
    std::optional<configuration_version> in_force;
};

/// Applies the records of endpoints. A record that cannot be decoded removes its endpoint.
class endpoint_observer : public keyed_observer {
public:
    endpoint_observer(const declaration_reader& declared, event_log& log, const scheduler& time,
                      endpoint_table& endpoints);

    bool on_record_written(const std::string& key, const std::string& value) override;
    void on_record_removed(const std::string& key, bool after_gap) override;
    void on_records_missed() override;
    void on_caught_up(monotonic_time as_of) override;

private:
    const declaration_reader& declared;
    event_log& log;
    const scheduler& time;
    endpoint_table& endpoints;
};

} // namespace eelgrassbend

#endif
