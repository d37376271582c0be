#ifndef EELGRASSBEND_GATEWAY_DECLARATION_READER_H
#define EELGRASSBEND_GATEWAY_DECLARATION_READER_H

#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/routes/routing_configuration.h"
#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/error.h"

#include <string>

namespace eelgrassbend {

/// Decodes the records that operators and endpoints write to the store, and names their topics.
class declaration_reader {
public:
    virtual ~declaration_reader() = default;
    [[nodiscard]] virtual store_topic operator_topic() const = 0;
    [[nodiscard]] virtual store_topic endpoint_topic() const = 0;
    /// Whether a key of the operator topic is that of the configuration.
    [[nodiscard]] virtual bool is_configuration_key(const std::string& key) const = 0;
    /// Errors: `invalid_argument`; the record is rejected as a whole.
    [[nodiscard]] virtual result<routing_configuration>
    read_configuration(const std::string& bytes) const = 0;
    [[nodiscard]] virtual result<endpoint_record> read_endpoint(const std::string& key,
                                                                const std::string& bytes) const = 0;
};

} // namespace eelgrassbend

#endif
