#ifndef EELGRASSBEND_PLATFORM_HTTP_CLIENT_H
#define EELGRASSBEND_PLATFORM_HTTP_CLIENT_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

struct http_call {
    network_address peer;
    std::string method = "GET";
    std::string target;
    std::string body; ///< may be empty
    duration timeout = std::chrono::seconds{5};
    std::string content_type = "application/json";            ///< of the body
    std::vector<std::pair<std::string, std::string>> headers; ///< besides the usual ones
    /// Whether to use a new connection, on which no answer to an earlier call can arrive, unless
    /// none can be opened.
    bool prefers_new_connection = false;
};

struct http_answer {
    int status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends small requests and gets whole answers. Errors: `unavailable` if the request was surely
/// not sent, `outcome_unknown` or `timed_out` if it may have been carried out.
class http_client {
public:
    using handler = std::function<void(result<http_answer>)>;

    virtual ~http_client() = default;
    virtual void send(http_call call, handler done) = 0;
};

} // namespace eelgrassbend

#endif
