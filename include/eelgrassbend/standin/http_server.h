#ifndef EELGRASSBEND_STANDIN_HTTP_SERVER_H
#define EELGRASSBEND_STANDIN_HTTP_SERVER_H

#include "eelgrassbend/standin/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend::standin {

using http_fields = std::vector<std::pair<std::string, std::string>>;

/// A request as the handlers of the stand-ins see it.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    http_fields fields;
    std::string body;

    /// Empty if there is none; names are compared without case.
    [[nodiscard]] std::string field(const std::string& name) const;
    /// The number in a field, or `fallback` if there is none.
    [[nodiscard]] std::int64_t number_field(const std::string& name, std::int64_t fallback) const;
    /// The number in a parameter of the query, or `fallback` if there is none.
    [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t fallback) const;
};

/// The answer to one request: either `send`, or `begin`, any `write`s and `end`. May be kept and
/// used later, on the thread of the loop; calls after the end or after the connection is lost do
/// nothing.
class http_answer {
public:
    virtual ~http_answer() = default;
    virtual void send(int status, std::string body, http_fields fields = {}) = 0;
    virtual void begin(int status, http_fields fields) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection once what was written has been sent.
    virtual void abort() = 0;
    /// Calls back once when the last byte of a whole answer has gone to the operating system.
    virtual void on_sent(std::function<void()> handler) = 0;
    /// Calls back once if the peer closes the connection before the answer is whole.
    virtual void on_closed(std::function<void()> handler) = 0;
};

/// An HTTP/1.1 server on the thread of an event loop.
class http_server {
public:
    using handler = std::function<void(const http_request&, std::shared_ptr<http_answer>)>;

    /// Listens on `ip` and `port`, 0 for any free one. Throws std::system_error.
    http_server(event_loop& loop, const std::string& ip, std::uint16_t port, handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// Connections that are open now, but for that of `except`, neither read nor write any more
    /// and do not notice if they are closed.
    void freeze_connections(const http_answer& except);

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace eelgrassbend::standin

#endif
