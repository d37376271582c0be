#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_PROTOCOL_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_PROTOCOL_H

#include "eelgrassbend/rollout/rollout_messages.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/error.h"

#include <optional>
#include <string>

namespace eelgrassbend {

/// Decodes the operators' orders and encodes the status that is reported to them.
class rollout_protocol {
public:
    virtual ~rollout_protocol() = default;
    /// The service of an order's key in the operator topic; empty if the key is of another kind.
    [[nodiscard]] virtual std::optional<service_id> order_service(const std::string& key) const = 0;
    /// Errors: `invalid_argument`.
    [[nodiscard]] virtual result<rollout_order> read_order(const std::string& key,
                                                           const std::string& bytes) const = 0;
    [[nodiscard]] virtual store_topic status_topic() const = 0;
    [[nodiscard]] virtual store_record status_record(const rollout_order& order,
                                                     rollout_phase phase) const = 0;
};

} // namespace eelgrassbend

#endif
