#include "eelgrassbend/standin/http_server.h"

#include "http_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/string.hpp>

#include <charconv>

namespace eelgrassbend::standin {

using boost::asio::ip::tcp;

static std::int64_t to_number(const std::string& text, std::int64_t fallback)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? value : fallback;
}

std::string http_request::field(const std::string& name) const
{
    for (const auto& [key, value] : this->fields) {
        if (boost::beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

std::int64_t http_request::number_field(const std::string& name, std::int64_t fallback) const
{
    return to_number(this->field(name), fallback);
}

std::int64_t http_request::number(const std::string& name, std::int64_t fallback) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? fallback : to_number(found->second, fallback);
}

class http_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(event_loop& loop, const std::string& ip, std::uint16_t port, handler serve)
        : acceptor(loop.context(), tcp::endpoint{boost::asio::ip::make_address(ip), port}),
          serve(std::move(serve))
    {
    }

    void accept()
    {
        const auto self = this->shared_from_this();
        this->acceptor.async_accept(
            [self](const boost::system::error_code& failure, tcp::socket socket) {
                if (failure == boost::asio::error::operation_aborted) {
                    return;
                }
                if (!failure) {
                    self->start_session(std::move(socket));
                }
                self->accept();
            });
    }

    void start_session(tcp::socket socket)
    {
        std::erase_if(this->sessions, [](const auto& known) { return known.expired(); });
        auto session = std::make_shared<http_session>(std::move(socket), this->serve);
        this->sessions.push_back(session);
        session->start();
    }

    void freeze(const http_session* except)
    {
        for (const auto& known : this->sessions) {
            auto session = known.lock();
            if (session && session.get() != except && !session->is_frozen()) {
                session->freeze();
                this->frozen.push_back(std::move(session));
            }
        }
    }

    tcp::acceptor acceptor;
    handler serve;
    std::vector<std::weak_ptr<http_session>> sessions;
    std::vector<std::shared_ptr<http_session>> frozen;
};

http_server::http_server(event_loop& loop, const std::string& ip, std::uint16_t port, handler serve)
    : inner(std::make_shared<implementation>(loop, ip, port, std::move(serve)))
{
    this->inner->accept();
}

http_server::~http_server()
{
    this->inner->acceptor.close();
}

std::uint16_t http_server::port() const
{
    return this->inner->acceptor.local_endpoint().port();
}

void http_server::freeze_connections(const http_answer& except)
{
    this->inner->freeze(connection_of(except));
}

} // namespace eelgrassbend::standin
