#ifndef EELGRASSBEND_BUNDLE_BUNDLE_CODEC_H
#define EELGRASSBEND_BUNDLE_BUNDLE_CODEC_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/support/error.h"

#include <string>
#include <string_view>

namespace eelgrassbend {

/// Canonical JSON: one text for one bundle. Durations are cut to milliseconds.
std::string encode_bundle(const bundle& contents);

/// Reads what `encode_bundle` wrote and checks it in full; any other spelling is an error.
result<bundle> decode_bundle(std::string_view text);

/// Reads an operator's bundle file (TOML). The error's peer is "<file>:<line>"; its detail
/// names the key and what is allowed. A file without operators is read.
result<bundle> parse_bundle_file(std::string_view text, const std::string& file);

/// The same from a file's path.
result<bundle> read_bundle_file(const std::string& path);

} // namespace eelgrassbend

#endif
