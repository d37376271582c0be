#ifndef EELGRASSBEND_LIB_ROLLOUT_ROLLOUT_RECORD_H
#define EELGRASSBEND_LIB_ROLLOUT_ROLLOUT_RECORD_H

#include "eelgrassbend/rollout/rollout_messages.h"

#include <optional>
#include <string>

namespace eelgrassbend {

/// The state of a roll-out as a record of the store.
std::string encode_rollout_record(const rollout_grant& state);
std::optional<rollout_grant> decode_rollout_record(const std::string& key,
                                                   const std::string& bytes);

} // namespace eelgrassbend

#endif
