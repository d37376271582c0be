#ifndef EELGRASSBEND_LIB_FLEET_ROLLOUT_CODEC_H
#define EELGRASSBEND_LIB_FLEET_ROLLOUT_CODEC_H

#include "eelgrassbend/codec/kj_compare.h"
#include "eelgrassbend/rollout/rollout_messages.h"

#include "fleet.capnp.h"

#include <cstddef>
#include <vector>

namespace eelgrassbend {

/// Upper bound of the bytes that grants add to a packed digest.
std::size_t rollout_grant_bytes(const std::vector<rollout_grant>& grants);
void write_grants(const std::vector<rollout_grant>& grants,
                  capnp::List<wire::RolloutGrant>::Builder out);
/// Leaves out grants that are not valid.
std::vector<rollout_grant> read_grants(capnp::List<wire::RolloutGrant>::Reader in);

void write_observations(const std::vector<rollout_observations>& observations,
                        capnp::List<wire::RolloutObservation>::Builder out);
std::vector<rollout_observations>
read_observations(capnp::List<wire::RolloutObservation>::Reader in);

} // namespace eelgrassbend

#endif
