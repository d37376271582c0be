#ifndef EELGRASSBEND_PLATFORM_HTTP_PLATFORM_H
#define EELGRASSBEND_PLATFORM_HTTP_PLATFORM_H

#include "eelgrassbend/platform/cloud_api.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/platform/http_client.h"
#include "eelgrassbend/platform/log_client.h"

namespace eelgrassbend {

/// The platform's log over HTTP; see docs/design/platform-protocol.md.
class http_log_client : public log_client {
public:
    http_log_client(http_client& client, network_address platform, duration timeout);

    void append(const stream_name& stream, std::vector<new_log_record> records,
                append_handler handler) override;
    void read(const stream_name& stream, log_offset from, std::size_t limit,
              read_handler handler) override;

private:
    http_client& client;
    network_address platform;
    duration timeout;
};

/// The platform's host list over HTTP.
class http_host_list : public host_list {
public:
    http_host_list(http_client& client, network_address platform, duration timeout);

    void fetch(handler done) override;

private:
    http_client& client;
    network_address platform;
    duration timeout;
};

/// The platform's cloud API over HTTP.
class http_cloud_api : public cloud_api {
public:
    http_cloud_api(http_client& client, network_address platform, duration timeout);

    void fetch_notices(std::uint64_t from, notices_handler handler) override;
    void order(const host_order& order, order_handler handler) override;
    void release(const host_name& host, done_handler handler) override;
    void list(std::function<void(result<std::vector<std::pair<std::string, host_entry>>>)> handler)
        override;

private:
    http_client& client;
    network_address platform;
    duration timeout;
};

} // namespace eelgrassbend

#endif
