#ifndef EELGRASSBEND_STREAMS_ORIGIN_BATCH_H
#define EELGRASSBEND_STREAMS_ORIGIN_BATCH_H

#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/strong_type.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrassbend {

/// Hash of a stream's service and id.
using stream_key = strong_number<struct stream_key_tag, std::uint64_t>;

stream_key make_stream_key(const service_id& service, const request_id& stream);

/// The versions at which some streams began, as one node recorded them. Shape of the record: JSON,
/// `written_ms` (wall clock, milliseconds since 1970) and `versions` (lists of keys by version).
struct origin_batch {
    std::int64_t written_ms = 0;
    std::map<stream_key, software_version> origins;
};

std::string encode_batch(const origin_batch& batch);
/// Errors: `invalid_argument`.
result<origin_batch> decode_batch(const std::string& bytes);

/// Milliseconds since 1970.
std::int64_t wall_milliseconds(wall_time time);

} // namespace eelgrassbend

#endif
