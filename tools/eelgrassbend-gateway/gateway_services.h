#ifndef EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_GATEWAY_SERVICES_H
#define EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_GATEWAY_SERVICES_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/settings/gateway_settings.h"
#include "eelgrassbend/support/error.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// Registers the services of a gateway; the last one is "gateway". Errors of listening show up
/// when the kernel starts, as exceptions of type std::system_error.
result<void> add_gateway_services(kernel& core, boost::asio::io_context& context,
                                  const gateway_settings& settings);

} // namespace eelgrassbend

#endif
