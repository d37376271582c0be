#ifndef EELGRASSBEND_CLAIMS_CLAIM_RECORD_H
#define EELGRASSBEND_CLAIMS_CLAIM_RECORD_H

#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbend {

/// An idempotency key within its scope. Ordered by the time of the key.
struct claim_key {
    std::string uuid; ///< UUIDv7, lower case
    std::uint64_t scope = 0;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// Errors: `invalid_argument` if `key` is not a UUIDv7.
result<claim_key> make_claim_key(const std::string& scope, const idempotency_key& key);

/// The partition of `key` among `partitions`; the same on every node.
std::uint32_t claim_partition_of(const claim_key& key, std::uint32_t partitions);

/// "claims-<partition>".
stream_name claim_stream(std::uint32_t partition);

enum class claim_record_kind : std::uint8_t {
    marker,    ///< keeps the window of the stream readable; names no key
    claim,     ///< the request wants the key
    released,  ///< the request never dispatched and never will
    finished,  ///< the request ran; carries its outcome
    abandoned, ///< the request was dispatched; its outcome will never be known
};

/// One record of a stream "claims-<partition>".
struct claim_record {
    claim_record_kind kind = claim_record_kind::claim;
    claim_key key;
    request_id request;
    node_id node;
    recorded_outcome outcome; ///< with `finished`
};

/// The id under which a record is appended; the same each time it is tried.
record_id id_of(claim_record_kind kind, const request_id& request);

std::string encode_claim_record(const claim_record& record);
/// Errors: `invalid_argument` if `payload` is not a record.
result<claim_record> decode_claim_record(std::string_view payload);

} // namespace eelgrassbend

#endif
