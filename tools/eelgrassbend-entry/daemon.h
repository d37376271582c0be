#ifndef EELGRASSBEND_TOOLS_EELGRASSBEND_ENTRY_DAEMON_H
#define EELGRASSBEND_TOOLS_EELGRASSBEND_ENTRY_DAEMON_H

#include "eelgrassbend/settings/entry_settings.h"

namespace eelgrassbend {

/// Runs an entry node until SIGTERM or SIGINT and answers the exit status.
int run_daemon(const entry_settings& settings);

} // namespace eelgrassbend

#endif
