#ifndef EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_GATEWAY_DAEMON_H
#define EELGRASSBEND_TOOLS_EELGRASSBEND_GATEWAY_GATEWAY_DAEMON_H

#include "eelgrassbend/settings/gateway_settings.h"

#include <string>

namespace eelgrassbend {

/// Runs a gateway until SIGTERM or SIGINT and answers the exit status. SIGHUP checks
/// `settings_file` again; bounds apply from the next start.
int run_gateway(const gateway_settings& settings, const std::string& settings_file);

} // namespace eelgrassbend

#endif
