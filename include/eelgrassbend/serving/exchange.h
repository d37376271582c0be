#ifndef EELGRASSBEND_SERVING_EXCHANGE_H
#define EELGRASSBEND_SERVING_EXCHANGE_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/support/error.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassbend {

/// One request as a caller sent it; the body is whole.
struct http_request {
    std::string method;
    std::string target; ///< path and query
    header_list headers;
    std::string body;

    /// The first header of that name, whatever its case; empty if there is none.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// The target without its query.
    [[nodiscard]] std::string path() const;
    /// A value of the query, decoded; empty if there is none.
    [[nodiscard]] std::string query(std::string_view name) const;
};

/// The answer to one request. Exactly one of `respond`, or `start` with `finish` or `abort`, ends
/// it.
class exchange {
public:
    /// Success once the caller's side has acknowledged every byte.
    using delivered_handler = std::function<void(result<void>)>;

    virtual ~exchange() = default;
    /// A whole answer.
    virtual void respond(int status, header_list headers, std::string body,
                         delivered_handler delivered) = 0;
    /// Begins an answer that is sent in parts.
    virtual void start(int status, header_list headers) = 0;
    virtual void send(std::string bytes) = 0;
    /// Sends `bytes` and the end of the answer.
    virtual void finish(std::string bytes, delivered_handler delivered) = 0;
    /// Closes the connection so that the caller sees that the answer is not whole.
    virtual void abort() = 0;
    /// Calls back once if the caller goes away before the answer has ended.
    virtual void on_caller_disconnected(std::function<void()> handler) = 0;
};

/// Answers requests.
class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request, std::shared_ptr<exchange> answer) = 0;
};

} // namespace eelgrassbend

#endif
