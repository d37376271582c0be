#include "http_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <exception>
#include <sstream>

namespace eelgrassbend::standin {

namespace http = boost::beast::http;

static constexpr std::size_t header_limit = 32UL * 1024;        // bytes
static constexpr std::size_t body_limit = 16UL * 1024 * 1024;   // bytes
static constexpr std::size_t pending_limit = 8UL * 1024 * 1024; // bytes

/// For steps whose failure the next read or write shows as well.
static void ignore(const boost::system::error_code& /*failure*/) {}

http_session::http_session(boost::asio::ip::tcp::socket socket, http_server::handler& serve)
    : socket(std::move(socket)), serve(serve)
{
}

void http_session::start()
{
    boost::system::error_code failure;
    ignore(this->socket.set_option(boost::asio::ip::tcp::no_delay{true}, failure));
    this->read_request();
}

void http_session::freeze()
{
    this->frozen = true;
    this->pending.clear();
    this->sent = nullptr;
    this->closed = nullptr;
}

void http_session::read_request()
{
    this->reading = true;
    this->parser.emplace();
    this->parser->header_limit(header_limit);
    this->parser->body_limit(body_limit);
    const auto self = this->shared_from_this();
    http::async_read(this->socket, this->input, *this->parser,
                     [self](const boost::system::error_code& failure, std::size_t) {
                         self->reading = false;
                         if (self->frozen) {
                             return;
                         }
                         if (failure == http::error::body_limit) {
                             self->refuse_request(413);
                             return;
                         }
                         if (failure) {
                             self->lose_connection();
                             return;
                         }
                         self->serve_request();
                     });
}

void http_session::refuse_request(int status)
{
    this->keep_alive = false;
    this->answer_open = true;
    this->send_head(status, {}, 0);
    this->finish_answer();
}

// Names and values of a query are only numbers and plain words here, so that nothing is escaped.
static std::map<std::string, std::string> parse_query(const std::string& text)
{
    std::map<std::string, std::string> query;
    std::istringstream pairs{text};
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto equals = pair.find('=');
        const auto value = equals == std::string::npos ? "" : pair.substr(equals + 1);
        query[pair.substr(0, equals)] = value;
    }
    return query;
}

static http_request convert(http::request<http::string_body> message)
{
    http_request request;
    request.method = std::string{message.method_string()};
    const std::string target{message.target()};
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        request.query = parse_query(target.substr(mark + 1));
    }
    for (const auto& field : message) {
        request.fields.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    request.body = std::move(message.body());
    return request;
}

namespace {

/// Gives one request's handler access to the session, until the answer is over.
class session_answer : public http_answer {
public:
    explicit session_answer(std::shared_ptr<http_session> session)
        : session(std::move(session)), generation(this->session->generation())
    {
    }

    void send(int status, std::string body, http_fields fields) override
    {
        if (this->is_over()) {
            return;
        }
        this->session->send_head(status, fields, body.size());
        this->session->send_bytes(body);
        this->finish();
    }

    void begin(int status, http_fields fields) override
    {
        if (!this->is_over()) {
            this->session->send_head(status, fields, std::nullopt);
        }
    }

    void write(std::string bytes) override
    {
        if (!this->is_over() && !bytes.empty()) {
            this->session->send_chunk(bytes);
        }
    }

    void end() override
    {
        if (this->is_over()) {
            return;
        }
        this->session->send_bytes("0\r\n\r\n");
        this->finish();
    }

    void abort() override
    {
        if (!this->is_over()) {
            this->over = true;
            this->session->abort_answer();
        }
    }

    void on_sent(std::function<void()> handler) override
    {
        if (!this->is_over() && !this->session->is_frozen()) {
            this->session->sent = std::move(handler);
        }
    }

    void on_closed(std::function<void()> handler) override
    {
        if (!this->is_over() && !this->session->is_frozen()) {
            this->session->closed = std::move(handler);
        }
    }

    [[nodiscard]] const http_session* connection() const { return this->session.get(); }

private:
    [[nodiscard]] bool is_over() const
    {
        return this->over || this->generation != this->session->generation();
    }

    void finish()
    {
        this->over = true;
        this->session->finish_answer();
    }

    std::shared_ptr<http_session> session;
    std::uint64_t generation;
    bool over = false;
};

} // namespace

const http_session* connection_of(const http_answer& answer)
{
    const auto* known = dynamic_cast<const session_answer*>(&answer);
    return known == nullptr ? nullptr : known->connection();
}

void http_session::serve_request()
{
    auto message = this->parser->release();
    ++this->requests;
    this->keep_alive = message.keep_alive();
    this->head_only = message.method() == http::verb::head;
    this->answer_open = true;
    this->sent = nullptr;
    this->closed = nullptr;
    this->watch_for_close();
    const auto request = convert(std::move(message));
    const auto answer = std::make_shared<session_answer>(this->shared_from_this());
    try {
        this->serve(request, answer);
    }
    catch (const std::exception& failure) {
        const nlohmann::json problem{{"error", failure.what()}};
        const auto text = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        answer->send(400, text, {{"Content-Type", "application/json"}});
    }
}

// While an answer is under way nothing is read, so that the end of the connection has to be
// noticed by a readable socket without any bytes.
void http_session::watch_for_close()
{
    const auto self = this->shared_from_this();
    const auto watched = this->requests;
    this->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                            [self, watched](const boost::system::error_code& failure) {
                                if (self->frozen || self->lost || watched != self->requests ||
                                    !self->answer_open) {
                                    return;
                                }
                                boost::system::error_code unreadable;
                                const auto bytes = self->socket.available(unreadable);
                                if (failure || unreadable || bytes == 0) {
                                    self->lose_connection();
                                }
                            });
}

void http_session::send_head(int status, const http_fields& fields,
                             std::optional<std::size_t> length)
{
    http::response_header<> head;
    head.version(11);
    head.result(static_cast<unsigned>(status));
    for (const auto& [name, value] : fields) {
        head.set(name, value);
    }
    if (length) {
        head.set(http::field::content_length, std::to_string(*length));
    }
    else {
        head.set(http::field::transfer_encoding, "chunked");
    }
    if (!this->keep_alive) {
        head.set(http::field::connection, "close");
    }
    std::ostringstream text;
    text << head;
    const auto only_head = std::exchange(this->head_only, false);
    this->send_bytes(text.str());
    this->head_only = only_head;
}

void http_session::send_bytes(std::string_view bytes)
{
    if (this->frozen || this->lost || this->head_only) {
        return;
    }
    this->pending += bytes;
    this->flush();
}

void http_session::send_chunk(std::string_view bytes)
{
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    this->send_bytes(chunk.str());
    // A reader that does not keep up with a stream must not fill the memory.
    if (this->pending.size() > pending_limit) {
        this->lose_connection();
    }
}

void http_session::finish_answer()
{
    this->answer_open = false;
    this->flush();
}

void http_session::abort_answer()
{
    this->sent = nullptr;
    this->closed = nullptr;
    this->answer_open = false;
    this->close_when_flushed = true;
    this->flush();
}

void http_session::flush()
{
    if (this->writing || this->frozen || this->lost) {
        return;
    }
    if (this->pending.empty()) {
        this->after_flush();
        return;
    }
    this->writing = true;
    this->in_flight = std::exchange(this->pending, {});
    const auto self = this->shared_from_this();
    boost::asio::async_write(this->socket, boost::asio::buffer(this->in_flight),
                             [self](const boost::system::error_code& failure, std::size_t) {
                                 self->writing = false;
                                 if (failure && !self->frozen) {
                                     self->lose_connection();
                                     return;
                                 }
                                 self->flush();
                             });
}

void http_session::after_flush()
{
    if (this->answer_open || this->reading) {
        return;
    }
    if (const auto handler = std::exchange(this->sent, nullptr)) {
        handler();
    }
    this->closed = nullptr;
    if (this->close_when_flushed || !this->keep_alive) {
        this->lose_connection();
        return;
    }
    this->read_request();
}

void http_session::lose_connection()
{
    if (this->lost) {
        return;
    }
    this->lost = true;
    boost::system::error_code failure;
    ignore(this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, failure));
    ignore(this->socket.close(failure));
    this->sent = nullptr;
    if (const auto handler = std::exchange(this->closed, nullptr)) {
        handler();
    }
}

} // namespace eelgrassbend::standin
