#ifndef EELGRASSBEND_LIB_CLAIMS_CLAIM_CODEC_H
#define EELGRASSBEND_LIB_CLAIMS_CLAIM_CODEC_H

#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/codec/capnp_bytes.h"

#include "claims.capnp.h"

namespace eelgrassbend {

void write_outcome(const recorded_outcome& outcome, claims_schema::Outcome::Builder out);
recorded_outcome read_outcome(claims_schema::Outcome::Reader in);

} // namespace eelgrassbend

#endif
