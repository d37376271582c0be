#ifndef EELGRASSBEND_NET_ASIO_ENDPOINT_CLIENT_H
#define EELGRASSBEND_NET_ASIO_ENDPOINT_CLIENT_H

#include "eelgrassbend/endpoints/endpoint_client.h"

#include <cstddef>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

class descriptor_budget;

struct endpoint_client_limits {
    duration connect_timeout = std::chrono::seconds{1};
    duration idle_timeout = std::chrono::seconds{20}; ///< before a pooled connection is closed
    std::size_t max_idle_connections = 32;            ///< pooled for each endpoint
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 64 * 1024 * 1024;
    /// Header that carries the attempt id in requests; answers echo it.
    std::string attempt_header = "X-Attempt-Id";
    /// Whether the first answer on a connection may omit the attempt id; one that is present must
    /// always match.
    bool allows_missing_attempt_id = false;
    /// Maximum wait for the answer to an attempt after one that shows no attempt id.
    duration unidentified_answer_timeout = std::chrono::seconds{2};
    /// Number of answers to earlier attempts that an attempt skips before its own answer.
    int max_skipped_answers = 0;
    /// Target of the probe that is sent on a fresh connection when an attempt makes no progress. If
    /// empty, older connections are retired without a probe.
    std::string probe_target = "/healthz";
    /// Whether the end of the connection may delimit an answer without a length.
    bool allows_close_delimited_bodies = false;
};

/// An endpoint client over HTTP/1.1. When an attempt makes no progress, the endpoint is probed on
/// a fresh connection. If the probe is answered, all older connections to the endpoint are retired,
/// since a middlebox may have dropped their state: idle connections are closed, and sent attempts
/// that have made no progress for half of their progress timeout fail with `timed_out`.
class asio_endpoint_client : public endpoint_client {
public:
    /// `descriptors`, if given, bounds the connections and outlives the client.
    asio_endpoint_client(boost::asio::io_context& context, endpoint_client_limits limits,
                         descriptor_budget* descriptors = nullptr);
    ~asio_endpoint_client() override;
    asio_endpoint_client(const asio_endpoint_client&) = delete;
    asio_endpoint_client& operator=(const asio_endpoint_client&) = delete;

    std::unique_ptr<attempt_handle> dispatch(const network_address& endpoint,
                                             endpoint_request request,
                                             attempt_observer& observer) override;
    [[nodiscard]] bool has_idle(const network_address& endpoint) const override;
    void forget(const network_address& endpoint) override;

    struct pool;

private:
    std::shared_ptr<pool> shared;
};

} // namespace eelgrassbend

#endif
