#ifndef EELGRASSBEND_NET_ASIO_HTTP_CLIENT_H
#define EELGRASSBEND_NET_ASIO_HTTP_CLIENT_H

#include "eelgrassbend/platform/http_client.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

class descriptor_budget;

/// An HTTP/1.1 client with pooled connections.
class asio_http_client : public http_client {
public:
    /// `descriptors`, if given, bounds the connections and outlives the client.
    explicit asio_http_client(boost::asio::io_context& context,
                              descriptor_budget* descriptors = nullptr);
    ~asio_http_client() override;
    asio_http_client(const asio_http_client&) = delete;
    asio_http_client& operator=(const asio_http_client&) = delete;

    void send(http_call call, handler done) override;

    struct pool;

private:
    std::shared_ptr<pool> shared;
};

} // namespace eelgrassbend

#endif
