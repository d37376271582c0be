#ifndef EELGRASSBEND_ENTRY_DECISION_SERVICES_H
#define EELGRASSBEND_ENTRY_DECISION_SERVICES_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/settings/entry_settings.h"
#include "eelgrassbend/support/error.h"

namespace eelgrassbend {

/// Registers the services of an entry node that perform no I/O of their own. They depend by name on
/// "scheduler", "random", "event_log", "platform_log", "host_list", "cloud_api", "datagrams",
/// "peer_rpc", "endpoint_client" and "endpoint_probe", which a program registers with
/// socket-based implementations and a test with fakes.
result<void> add_decision_services(kernel& core, const entry_settings& settings);

} // namespace eelgrassbend

#endif
