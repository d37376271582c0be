#ifndef EELGRASSBEND_CONTROL_ENTRY_COMMANDS_H
#define EELGRASSBEND_CONTROL_ENTRY_COMMANDS_H

#include "eelgrassbend/control/command.h"
#include "eelgrassbend/platform/http_client.h"

#include <string>
#include <vector>

namespace eelgrassbend {

/// Asks each entry node which bundle is in force there. Negative if they differ or one is not
/// ready; unavailable if one does not answer.
void report_bundle_status(http_client& client, const std::vector<network_address>& entries,
                          duration timeout, command_handler done);

/// Asks one entry node which entry hosts an organisation should use for a service.
void list_entries(http_client& client, const network_address& entry,
                  const std::string& organisation, const std::string& service, duration timeout,
                  command_handler done);

} // namespace eelgrassbend

#endif
