#ifndef EELGRASSBEND_UNITTESTS_STANDIN_HTTP_PROBE_H
#define EELGRASSBEND_UNITTESTS_STANDIN_HTTP_PROBE_H

#include "eelgrassbend/standin/event_loop.h"
#include "eelgrassbend/standin/http_server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace eelgrassbend::standin {

/// Runs an event loop on its own thread until the end of the test.
class loop_thread {
public:
    explicit loop_thread(event_loop& loop) : loop(loop), thread([&loop] { loop.run(); }) {}

    ~loop_thread()
    {
        this->loop.stop();
        this->thread.join();
    }

    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

private:
    event_loop& loop;
    std::thread thread;
};

struct probe_answer {
    int status = 0; ///< 0: the connection ended before a whole head
    http_fields fields;
    std::string body;
    bool whole = false;

    [[nodiscard]] nlohmann::json json() const { return nlohmann::json::parse(this->body); }

    [[nodiscard]] std::string field(const std::string& name) const;
};

/// One blocking connection to a stand-in on the loopback.
class http_probe {
public:
    explicit http_probe(std::uint16_t port);
    ~http_probe();
    http_probe(const http_probe&) = delete;
    http_probe& operator=(const http_probe&) = delete;

    void send(const std::string& method, const std::string& target, const std::string& body = {},
              const http_fields& fields = {});
    probe_answer receive();
    /// Whatever bytes arrive until `wanted` is among them or `limit` has passed.
    std::string receive_until(const std::string& wanted, std::chrono::milliseconds limit);

private:
    class implementation;
    std::unique_ptr<implementation> inner;
};

/// One request on a connection of its own.
probe_answer exchange(std::uint16_t port, const std::string& method, const std::string& target,
                      const std::string& body = {}, const http_fields& fields = {});

/// Asks until `holds`, at most 5 s.
bool eventually(const std::function<bool()>& holds);

} // namespace eelgrassbend::standin

#endif
