#ifndef EELGRASSBEND_LIB_SETTINGS_SETTING_VALUES_H
#define EELGRASSBEND_LIB_SETTINGS_SETTING_VALUES_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/settings/toml_reader.h"
#include "eelgrassbend/support/error.h"

#include <string>

namespace eelgrassbend {

/// An IP number and a port; rejected in `table` if it is something else.
network_address read_address(toml_reader& table, const std::string& key);
/// 1 to 64 lower-case letters, digits and hyphens.
std::string read_name(toml_reader& table, const std::string& key);
/// Errors: `not_found`.
result<std::string> read_settings_file(const std::string& file);

} // namespace eelgrassbend

#endif
