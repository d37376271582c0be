#ifndef EELGRASSBEND_LIB_LEDGER_LEDGER_CODEC_H
#define EELGRASSBEND_LIB_LEDGER_LEDGER_CODEC_H

#include "eelgrassbend/codec/capnp_bytes.h"
#include "eelgrassbend/ledger/ledger.h"

#include "ledger.capnp.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

void write_line(const ledger_line& line, ledger_schema::Line::Builder out);
/// Errors: `invalid_argument` if a field is out of bounds.
result<ledger_line> read_line(ledger_schema::Line::Reader in);

/// One process that bills requests.
struct ledger_origin {
    node_id node;
    std::uint64_t session = 0; ///< differs from process to process of the same name

    friend auto operator<=>(const ledger_origin&, const ledger_origin&) = default;
};

/// Lines that a replica is to keep.
struct ledger_store {
    ledger_origin origin;
    std::vector<ledger_line> intended;
    std::vector<ledger_line> confirmed;
};

/// Lines that a replica need not keep any more.
struct ledger_drop {
    ledger_origin origin;
    std::vector<request_id> requests;
};

std::string encode_ledger_store(const ledger_store& store);
/// Errors: `invalid_argument` if the bytes are not such a message.
result<ledger_store> decode_ledger_store(std::string_view bytes);
std::string encode_ledger_drop(const ledger_drop& drop);
/// Errors: `invalid_argument` if the bytes are not such a message.
result<ledger_drop> decode_ledger_drop(std::string_view bytes);

/// Memory that a line takes, about.
std::size_t size_of(const ledger_line& line);

} // namespace eelgrassbend

#endif
