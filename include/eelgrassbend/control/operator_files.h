#ifndef EELGRASSBEND_CONTROL_OPERATOR_FILES_H
#define EELGRASSBEND_CONTROL_OPERATOR_FILES_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/bundle/signing.h"
#include "eelgrassbend/support/error.h"

#include <string>

namespace eelgrassbend {

/// Writes a key pair that only its owner can read. An error if the file exists.
result<void> save_key(const std::string& path, const signing_key& key);
result<signing_key> load_key(const std::string& path);

/// A signed bundle is kept as the payload of its record.
result<void> save_signed_bundle(const std::string& path, const signed_bundle& sealed);
result<signed_bundle> load_signed_bundle(const std::string& path);

/// Reads a bundle file (TOML) or a signed bundle, whichever it is.
result<bundle> load_bundle(const std::string& path);

} // namespace eelgrassbend

#endif
