#ifndef EELGRASSBEND_LIB_CLAIMS_CLAIM_BATCH_H
#define EELGRASSBEND_LIB_CLAIMS_CLAIM_BATCH_H

#include "eelgrassbend/claims/claim_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbend {

/// What became of a record that was to be appended.
enum class verdict_kind : std::uint8_t {
    not_appended,
    maybe_appended, ///< given up; the record may still appear in the log
    appended,
    won, ///< this and the following: claims only, as claim_verdict
    held,
    vacant,
    expired,
    uncovered,
    overused,
};

struct record_verdict {
    verdict_kind kind = verdict_kind::not_appended;
    claim_holder holder; ///< with `held`
};

/// One entry node asks the batcher of a partition to append records.
struct claim_batch {
    std::uint32_t partition = 0;
    std::vector<claim_record> records;
};

std::string encode_claim_batch(const claim_batch& batch);
/// Errors: `invalid_argument` if the bytes are not a batch.
result<claim_batch> decode_claim_batch(std::string_view bytes);

std::string encode_verdicts(const std::vector<record_verdict>& verdicts);
/// Errors: `invalid_argument` if the bytes are not verdicts.
result<std::vector<record_verdict>> decode_verdicts(std::string_view bytes);

} // namespace eelgrassbend

#endif
