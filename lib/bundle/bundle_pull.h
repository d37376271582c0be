#ifndef EELGRASSBEND_LIB_BUNDLE_BUNDLE_PULL_H
#define EELGRASSBEND_LIB_BUNDLE_BUNDLE_PULL_H

#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// What an entry node answers to a peer that lacks records.
struct pulled_records {
    log_offset next_offset;      ///< the answering node has folded up to here
    std::optional<duration> age; ///< since its view was known to be whole
    std::string checkpoint;      ///< its state; empty if the records suffice
    std::vector<log_record> records;
};

/// Tells all entry nodes that the stream has grown.
struct stream_hint {
    log_offset end;
    std::optional<log_record> record; ///< the last one
};

std::string encode_pull(log_offset from);
result<log_offset> decode_pull(std::string_view bytes);

std::string encode_pulled(const pulled_records& answer);
result<pulled_records> decode_pulled(std::string_view bytes);

std::string encode_hint(const stream_hint& hint);
result<stream_hint> decode_hint(std::string_view bytes);

} // namespace eelgrassbend

#endif
