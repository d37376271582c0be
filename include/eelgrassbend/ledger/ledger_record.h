#ifndef EELGRASSBEND_LEDGER_LEDGER_RECORD_H
#define EELGRASSBEND_LEDGER_LEDGER_RECORD_H

#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Name of the stream that holds confirmed lines.
inline constexpr std::string_view ledger_stream = "ledger";

/// The payload of one record of the ledger stream.
std::string encode_ledger_line(const ledger_line& line);

/// Errors: `invalid_argument` if `payload` is not a line.
result<ledger_line> decode_ledger_line(std::string_view payload);

/// Turns the records of the ledger stream into invoice lines. The first record of a request
/// counts, so that lines which several nodes append are billed once.
class ledger_fold {
public:
    /// Records must come in the order of their offsets.
    void add(const log_record& record);

    /// Invoice lines in the order of their offsets.
    [[nodiscard]] const std::vector<ledger_line>& lines() const { return this->kept; }

    /// Records that repeat a request with the same content.
    [[nodiscard]] std::size_t repeated() const { return this->repeats; }

    /// Records that contradict an earlier one of the same request; a fault to look into.
    [[nodiscard]] std::size_t contradicting() const { return this->contradictions; }

    /// Records that are not lines; a fault to look into.
    [[nodiscard]] std::size_t unreadable() const { return this->malformed; }

private:
    std::vector<ledger_line> kept;
    std::unordered_map<request_id, std::size_t> positions;
    std::size_t repeats = 0;
    std::size_t contradictions = 0;
    std::size_t malformed = 0;
};

} // namespace eelgrassbend

#endif
