#include "asio_stream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstring>
#include <string>
#include <vector>

namespace eelgrassbend {

namespace asio = boost::asio;
using boost::system::error_code;

asio_stream::asio_stream(asio::ip::tcp::socket socket)
    : socket(std::make_shared<asio::ip::tcp::socket>(std::move(socket)))
{
    error_code ignored;
    this->socket->set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio_stream::~asio_stream()
{
    error_code ignored;
    this->socket->close(ignored);
}

static kj::Exception disconnect_exception(const error_code& failure)
{
    return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
            kj::heapString(failure.message().c_str())};
}

// A promise and its buffer may be destroyed before the socket operation completes, so reads use a
// buffer that the operation owns.
kj::Promise<size_t> asio_stream::tryRead(void* buffer, size_t min_bytes, size_t max_bytes)
{
    auto pair = kj::newPromiseAndFulfiller<size_t>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<size_t>>>(kj::mv(pair.fulfiller));
    auto owned_buffer = std::make_shared<std::vector<char>>(max_bytes);
    asio::async_read(*this->socket, asio::buffer(*owned_buffer), asio::transfer_at_least(min_bytes),
                     [socket = this->socket, owned_buffer, buffer, fulfiller](error_code failure,
                                                                              std::size_t length) {
                         if (!(*fulfiller)->isWaiting()) {
                             return;
                         }
                         std::memcpy(buffer, owned_buffer->data(), length);
                         if (failure && failure != asio::error::eof) {
                             (*fulfiller)->reject(disconnect_exception(failure));
                             return;
                         }
                         (*fulfiller)->fulfill(kj::cp(length));
                     });
    return kj::mv(pair.promise);
}

static kj::Promise<void> write_bytes(const std::shared_ptr<asio::ip::tcp::socket>& socket,
                                     std::string bytes)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
    auto owned_buffer = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(*socket, asio::buffer(*owned_buffer),
                      [socket, owned_buffer, fulfiller](error_code failure, std::size_t) {
                          if (failure) {
                              (*fulfiller)->reject(disconnect_exception(failure));
                              return;
                          }
                          (*fulfiller)->fulfill();
                      });
    return kj::mv(pair.promise);
}

kj::Promise<void> asio_stream::write(const void* buffer, size_t size)
{
    return write_bytes(this->socket, {static_cast<const char*>(buffer), size});
}

kj::Promise<void> asio_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::string bytes;
    for (const auto& piece : pieces) {
        bytes.append(reinterpret_cast<const char*>(piece.begin()), piece.size());
    }
    return write_bytes(this->socket, std::move(bytes));
}

kj::Promise<void> asio_stream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void asio_stream::shutdownWrite()
{
    error_code ignored;
    this->socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace eelgrassbend
