#include "declaration_observers.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

configuration_observer::configuration_observer(const declaration_reader& declared, event_log& log,
                                               table_handler on_table,
                                               confirmed_handler on_confirmed,
                                               rollout_order_observer* rollouts)
    : declared(declared),
      log(log),
      on_table(std::move(on_table)),
      on_confirmed(std::move(on_confirmed)),
      rollouts(rollouts)
{
}

bool configuration_observer::on_record_written(const std::string& key, const std::string& value)
{
    if (!this->declared.is_configuration_key(key)) {
        if (this->rollouts != nullptr) {
            this->rollouts->on_order_written(key, value);
        }
        return true;
    }
    auto read = this->declared.read_configuration(value);
    if (!read) {
        this->log.write(log_level::error, "configuration_invalid",
                        {{"error", read.error().to_string()}});
        return true;
    }
    const auto version = read.value().version;
    if (this->in_force && version <= *this->in_force) {
        return true;
    }
    this->in_force = version;
    this->log.write(log_level::info, "configuration_in_force",
                    {{"version", version.value()},
                     {"routes", read.value().routes.size()},
                     {"organisations", read.value().organisations.size()}});
    this->on_table(std::make_shared<const route_table>(std::move(read.value())));
    return true;
}

void configuration_observer::on_record_removed(const std::string& key, bool after_gap)
{
    if (this->rollouts != nullptr && this->rollouts->on_order_removed(key, after_gap)) {
        return;
    }
    this->log.write(log_level::warning, "configuration_record_removed", {{"key", key}});
}

void configuration_observer::on_caught_up(monotonic_time as_of)
{
    if (this->in_force) {
        this->on_confirmed(as_of);
    }
}

endpoint_observer::endpoint_observer(const declaration_reader& declared, event_log& log,
                                     const scheduler& time, endpoint_table& endpoints)
    : declared(declared), log(log), time(time), endpoints(endpoints)
{
}

// Endpoints rewrite an unchanged record about once a second as a heartbeat.
bool endpoint_observer::on_record_written(const std::string& key, const std::string& value)
{
    const auto now = this->time.now();
    const auto read = this->declared.read_endpoint(key, value);
    if (read) {
        const auto* known = this->endpoints.find(read.value().id);
        const bool is_same = known != nullptr && !known->missing_since &&
                             has_same_state(known->record, read.value());
        if (!this->endpoints.put(read.value(), now)) {
            this->log.write(log_level::info, "endpoint_record_outdated",
                            {{"endpoint", key}, {"draining", read.value().is_draining}});
            return false;
        }
        return !is_same;
    }
    this->log.write(log_level::warning, "endpoint_record_invalid",
                    {{"error", read.error().to_string()}});
    this->endpoints.remove(endpoint_id{key}, now, false);
    return true;
}

void endpoint_observer::on_record_removed(const std::string& key, bool after_gap)
{
    this->endpoints.remove(endpoint_id{key}, this->time.now(), after_gap);
}

// A record that was missed may have been the notice that an endpoint leaves.
void endpoint_observer::on_records_missed()
{
    this->endpoints.check_all(this->time.now());
}

void endpoint_observer::on_caught_up(monotonic_time /*as_of*/)
{
    this->endpoints.expire(this->time.now());
}

} // namespace eelgrassbend
