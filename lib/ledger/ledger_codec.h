#ifndef EELGRASSBEND_LIB_LEDGER_LEDGER_CODEC_H
#define EELGRASSBEND_LIB_LEDGER_LEDGER_CODEC_H

#include "eelgrassbend/codec/capnp_bytes.h"
#include "eelgrassbend/ledger/ledger.h"

#include "ledger.capnp.h"

namespace eelgrassbend {

void write_line(const ledger_line& line, ledger_schema::Line::Builder out);
/// Errors: `invalid_argument` if a field is out of bounds.
result<ledger_line> read_line(ledger_schema::Line::Reader in);

} // namespace eelgrassbend

#endif
