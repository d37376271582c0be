#ifndef EELGRASSBEND_LIB_SETTINGS_SETTING_VALUES_H
#define EELGRASSBEND_LIB_SETTINGS_SETTING_VALUES_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/settings/toml_reader.h"
#include "eelgrassbend/support/error.h"

#include <string>

namespace eelgrassbend {

/// Reads an IP address and a port; any other value is reported through `table`.
network_address read_address(toml_reader& table, const std::string& key);
/// Reads a name of 1 to 64 lower-case letters, digits and hyphens.
std::string read_name(toml_reader& table, const std::string& key);
/// Reads a file as text. Errors: `not_found` if it cannot be opened.
result<std::string> read_settings_file(const std::string& file);

} // namespace eelgrassbend

#endif
