#ifndef EELGRASSBEND_TOOLS_EELGRASSBEND_ENTRY_IO_SERVICES_H
#define EELGRASSBEND_TOOLS_EELGRASSBEND_ENTRY_IO_SERVICES_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/settings/entry_settings.h"
#include "eelgrassbend/support/error.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// Registers the services of an entry node that use sockets, clocks or the output. Errors of
/// listening show up when the kernel starts, as exceptions of type std::system_error.
result<void> add_io_services(kernel& core, boost::asio::io_context& context,
                             const entry_settings& settings);

} // namespace eelgrassbend

#endif
