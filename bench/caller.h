#ifndef EELGRASSBEND_BENCH_CALLER_H
#define EELGRASSBEND_BENCH_CALLER_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/units.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace eelgrassbend::bench {

struct call_request {
    network_address address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{30'000};
};

struct call_answer {
    int status = 0; ///< 0: no head was received
    bool whole = false;
    std::string body;
    std::string request;            ///< header Eelgrassbend-Request
    std::string outcome;            ///< header Eelgrassbend-Outcome
    std::string replayed;           ///< header Eelgrassbend-Replayed
    std::string retry_after;        ///< header Retry-After
    std::string failure;            ///< of the connection; empty if the answer is whole
    std::vector<duration> arrivals; ///< of each piece of the body, since the call began
};

/// Sends one request on a connection of its own. Never throws.
boost::asio::awaitable<call_answer> call(call_request request);

/// The same from outside a coroutine; blocks.
call_answer call_blocking(call_request request);

} // namespace eelgrassbend::bench

#endif
