#ifndef EELGRASSBEND_UNITTESTS_NET_LOOPBACK_H
#define EELGRASSBEND_UNITTESTS_NET_LOOPBACK_H

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassbend {

/// Runs an io_context until `done` returns true or `limit` has passed; returns the result of
/// `done`.
inline bool run_until(boost::asio::io_context& context, const std::function<bool()>& done,
                      std::chrono::milliseconds limit = std::chrono::seconds{10})
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds{20});
        context.restart();
    }
    return done();
}

/// A raw TCP connection to a server on the same io_context.
class raw_client {
public:
    raw_client(boost::asio::io_context& context, std::uint16_t port)
        : context(context), socket(context)
    {
        boost::system::error_code failure;
        this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, failure);
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code failure;
        boost::asio::write(this->socket, boost::asio::buffer(bytes), failure);
    }

    /// Reads until `done` returns true for the received bytes or the connection ends.
    std::string receive(const std::function<bool(const std::string&)>& done)
    {
        this->read_more();
        run_until(this->context, [&] { return this->has_ended || done(this->received); });
        return this->received;
    }

    std::string receive_all()
    {
        return this->receive([](const std::string&) { return false; });
    }

    /// Reads until at least `count` bytes are received in total. Runs the server only while there
    /// is nothing to read.
    bool receive_at_least(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (this->received.size() < count && std::chrono::steady_clock::now() < end) {
            boost::system::error_code failure;
            if (this->socket.available(failure) == 0) {
                this->context.poll_one();
                this->context.restart();
                continue;
            }
            const auto length =
                this->socket.read_some(boost::asio::buffer(this->read_buffer), failure);
            this->received.append(this->read_buffer.data(), length);
        }
        return this->received.size() >= count;
    }

    /// Closes the connection with a reset.
    void reset()
    {
        boost::system::error_code failure;
        this->socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
        this->socket.close(failure);
    }

    void close()
    {
        boost::system::error_code failure;
        this->socket.close(failure);
    }

    bool has_ended = false;
    std::string received;

private:
    void read_more()
    {
        if (std::exchange(this->is_reading, true)) {
            return;
        }
        this->socket.async_read_some(boost::asio::buffer(this->read_buffer),
                                     [this](boost::system::error_code failure, std::size_t length) {
                                         this->is_reading = false;
                                         if (failure) {
                                             this->has_ended = true;
                                             return;
                                         }
                                         this->received.append(this->read_buffer.data(), length);
                                         this->read_more();
                                     });
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::socket socket;
    std::array<char, 65536> read_buffer{};
    bool is_reading = false;
};

} // namespace eelgrassbend

#endif
