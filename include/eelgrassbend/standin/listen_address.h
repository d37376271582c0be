#ifndef EELGRASSBEND_STANDIN_LISTEN_ADDRESS_H
#define EELGRASSBEND_STANDIN_LISTEN_ADDRESS_H

#include "eelgrassbend/platform/host_list.h"

#include <string>

namespace eelgrassbend::standin {

/// Parses "ip:port". Throws std::invalid_argument.
network_address parse_listen_address(const std::string& text);

} // namespace eelgrassbend::standin

#endif
