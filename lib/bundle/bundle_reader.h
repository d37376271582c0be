#ifndef EELGRASSBEND_LIB_BUNDLE_BUNDLE_READER_H
#define EELGRASSBEND_LIB_BUNDLE_BUNDLE_READER_H

#include "document.h"

#include "eelgrassbend/bundle/bundle.h"

namespace eelgrassbend {

/// Reads and checks a whole bundle; operators may be missing.
result<bundle> read_bundle_document(const document& source);

/// Reads the operators and checks them against the number of signatures.
std::vector<operator_key> read_operators(table_reader& root, std::uint32_t required_signatures);

inline constexpr std::int64_t max_bundle_version =
    9'007'199'254'740'991; ///< exact in any JSON reader
inline constexpr std::int64_t max_operators = 64;

} // namespace eelgrassbend

#endif
