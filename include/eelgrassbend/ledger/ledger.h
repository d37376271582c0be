#ifndef EELGRASSBEND_LEDGER_LEDGER_H
#define EELGRASSBEND_LEDGER_LEDGER_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <functional>
#include <string>

namespace eelgrassbend {

/// One request on an invoice.
struct ledger_line {
    request_id request;
    attempt_id attempt; ///< the attempt whose answer was delivered
    organisation_id organisation;
    service_id service;
    endpoint_id endpoint;
    bundle_version version; ///< whose tariff applies
    token_count prompt_tokens;
    token_count output_tokens;
    money price;
    std::string answer_digest; ///< SHA-256 of the whole answer text
    wall_time accepted_at;
};

/// Keeps what is billed. A line is billed only if it was confirmed.
class ledger {
public:
    using done_handler = std::function<void(result<void>)>;

    virtual ~ledger() = default;

    /// Whether there is room for the lines of new requests. Lines wait for the log in bounded
    /// memory; while this is false, new billable requests must be refused as not-run.
    [[nodiscard]] virtual bool accepts_work() const { return true; }

    /// Before the last byte is sent: done once replicas in other availability zones hold the
    /// line, or with an error after a bounded time; the answer then goes out unbilled. Fails at
    /// once at the bound of waiting lines. A line whose intent succeeded must be confirmed or
    /// cancelled.
    virtual void intend(const ledger_line& line, done_handler handler) = 0;
    /// After the caller's side has acknowledged every byte.
    virtual void confirm(const request_id& request) = 0;
    /// The answer was not delivered whole.
    virtual void cancel(const request_id& request) = 0;
    /// Appends all confirmed lines to the log; for a planned stop.
    virtual void flush(done_handler handler) = 0;
    /// Lines that wait for the log.
    [[nodiscard]] virtual std::size_t waiting() const = 0;
};

} // namespace eelgrassbend

#endif
