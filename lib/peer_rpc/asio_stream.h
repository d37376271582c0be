#ifndef EELGRASSBEND_LIB_PEER_RPC_ASIO_STREAM_H
#define EELGRASSBEND_LIB_PEER_RPC_ASIO_STREAM_H

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <kj/async-io.h>

#include <memory>

namespace eelgrassbend {

/// Adapts an Asio socket to a Cap'n Proto stream.
class asio_stream final : public kj::AsyncIoStream {
public:
    explicit asio_stream(boost::asio::ip::tcp::socket socket);
    asio_stream(const asio_stream&) = delete;
    asio_stream& operator=(const asio_stream&) = delete;
    ~asio_stream();

    // The base classes define these names.
    // NOLINTBEGIN(readability-identifier-naming)
    kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes, size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    // NOLINTEND(readability-identifier-naming)

private:
    // Shared with pending operations, which may complete after the stream is destroyed.
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
};

} // namespace eelgrassbend

#endif
