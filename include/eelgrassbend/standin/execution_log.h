#ifndef EELGRASSBEND_STANDIN_EXECUTION_LOG_H
#define EELGRASSBEND_STANDIN_EXECUTION_LOG_H

#include "eelgrassbend/standin/http_server.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend::standin {

/// One attempt that began to run at an endpoint.
struct execution {
    std::string request;
    std::string attempt;
    std::string idempotency_key;
    std::string service;
    std::string method;
    std::string path;
    std::int64_t started_ms = 0;
    std::optional<std::int64_t> ended_ms; ///< empty while it runs
    bool cancelled = false;
    bool whole = false; ///< all bytes of the answer went to the operating system
    std::string digest; ///< SHA-256 of the answer text
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t resumed_tokens = 0;
};

/// Remembers executions for comparison with the ledger; forgets the oldest beyond a limit.
class execution_log {
public:
    /// Appends each execution to `file` when it ends, so that it outlives the process; an empty
    /// name keeps no file. Throws std::runtime_error if the file cannot be opened.
    explicit execution_log(const std::string& file);
    /// Fills in what the request says, and the start.
    std::shared_ptr<execution> start(const http_request& request, const std::string& service,
                                     wall_time now);
    /// The answer of an execution is complete; to be told before its last byte is sent.
    void ended(const execution& entry);
    /// One JSON object a line.
    [[nodiscard]] std::string lines() const;

private:
    std::deque<std::shared_ptr<execution>> entries;
    std::ofstream file;
};

std::int64_t to_epoch_ms(wall_time time);

} // namespace eelgrassbend::standin

#endif
