#ifndef EELGRASSBEND_NET_ASIO_HTTP_CLIENT_H
#define EELGRASSBEND_NET_ASIO_HTTP_CLIENT_H

#include "eelgrassbend/platform/http_client.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// An HTTP/1.1 client with pooled connections.
class asio_http_client : public http_client {
public:
    explicit asio_http_client(boost::asio::io_context& context);
    ~asio_http_client() override;

    void send(http_call call, handler done) override;

    struct pool;

private:
    std::shared_ptr<pool> shared;
};

} // namespace eelgrassbend

#endif
