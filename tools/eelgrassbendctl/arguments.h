#ifndef EELGRASSBEND_TOOLS_EELGRASSBENDCTL_ARGUMENTS_H
#define EELGRASSBEND_TOOLS_EELGRASSBENDCTL_ARGUMENTS_H

#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"

#include <string>
#include <vector>

namespace eelgrassbend {

/// Sets the Abseil flags among the arguments and gives the others. Unlike Abseil's own parser
/// it returns an error, so that the program can end with its own exit status.
result<std::vector<std::string>> parse_flags(int argc, char** argv);

/// "ip:port".
result<network_address> parse_address(const std::string& text);
/// "ip:port,ip:port"; at least one.
result<std::vector<network_address>> parse_addresses(const std::string& text);
/// Public keys separated by commas; at least one.
result<operator_set> parse_trusted_keys(const std::string& text, std::uint32_t required);

} // namespace eelgrassbend

#endif
