#include "http_probe.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace eelgrassbend::standin {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

static constexpr std::size_t body_limit = 64'000'000; // bytes

std::string probe_answer::field(const std::string& name) const
{
    for (const auto& [key, value] : this->fields) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

class http_probe::implementation {
public:
    boost::asio::io_context context;
    tcp::socket socket{this->context};
    boost::beast::flat_buffer buffer;
};

http_probe::http_probe(std::uint16_t port) : inner(std::make_unique<implementation>())
{
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    this->inner->socket.connect(tcp::endpoint{loopback, port});
}

http_probe::~http_probe() = default;

void http_probe::send(const std::string& method, const std::string& target, const std::string& body,
                      const http_fields& fields)
{
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, "stand-in");
    for (const auto& [name, value] : fields) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    http::write(this->inner->socket, request);
}

probe_answer http_probe::receive()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    boost::system::error_code failure;
    http::read(this->inner->socket, this->inner->buffer, parser, failure);
    probe_answer answer;
    answer.whole = !failure && parser.is_done();
    if (!parser.is_header_done()) {
        return answer;
    }
    const auto& message = parser.get();
    answer.status = static_cast<int>(message.result_int());
    answer.body = message.body();
    for (const auto& field : message) {
        answer.fields.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    return answer;
}

std::string http_probe::receive_until(const std::string& wanted, std::chrono::milliseconds limit)
{
    std::string seen;
    std::array<char, 4096> bytes{};
    bool over = false;
    boost::asio::steady_timer timer{this->inner->context, limit};
    timer.async_wait([&](const auto& failure) {
        if (!failure) {
            over = true;
            this->inner->socket.cancel();
        }
    });
    std::function<void()> read = [&] {
        this->inner->socket.async_read_some(
            boost::asio::buffer(bytes), [&](const auto& failure, std::size_t count) {
                seen.append(bytes.data(), count);
                over = over || failure || seen.find(wanted) != std::string::npos;
                if (over) {
                    timer.cancel();
                    return;
                }
                read();
            });
    };
    read();
    this->inner->context.restart();
    this->inner->context.run();
    return seen;
}

probe_answer exchange(std::uint16_t port, const std::string& method, const std::string& target,
                      const std::string& body, const http_fields& fields)
{
    http_probe probe{port};
    probe.send(method, target, body, fields);
    return probe.receive();
}

bool eventually(const std::function<bool()>& holds)
{
    constexpr int attempts = 500;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
}

} // namespace eelgrassbend::standin
