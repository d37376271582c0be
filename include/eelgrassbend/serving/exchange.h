#ifndef EELGRASSBEND_SERVING_EXCHANGE_H
#define EELGRASSBEND_SERVING_EXCHANGE_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/support/error.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassbend {

/// A complete HTTP request from a caller.
struct http_request {
    std::string method;
    std::string target; ///< path and query
    header_list headers;
    shared_bytes body;

    /// Returns the first header of that name, compared without case; empty if absent.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// Returns the target without its query.
    [[nodiscard]] std::string path() const;
    /// Returns a percent-decoded query parameter; empty if absent.
    [[nodiscard]] std::string query(std::string_view name) const;
};

/// The answer to one request. It is ended by exactly one of `respond`, or `start` followed by
/// `finish` or `abort`.
class exchange {
public:
    /// Receives success once the caller's side has acknowledged every byte.
    using delivered_handler = std::function<void(result<void>)>;

    virtual ~exchange() = default;
    /// Sends a complete answer.
    virtual void respond(int status, header_list headers, std::string body,
                         delivered_handler delivered) = 0;
    /// Starts an answer that is sent in parts.
    virtual void start(int status, header_list headers) = 0;
    virtual void send(std::string bytes) = 0;
    /// Sends `bytes` and ends the answer.
    virtual void finish(std::string bytes, delivered_handler delivered) = 0;
    /// Closes the connection so that the caller can detect that the answer is incomplete.
    virtual void abort() = 0;
    /// Calls `handler` once if the caller disconnects before the answer has ended.
    virtual void on_caller_disconnected(std::function<void()> handler) = 0;
};

/// Handles the requests of an HTTP server.
class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request, std::shared_ptr<exchange> answer) = 0;
};

} // namespace eelgrassbend

#endif
