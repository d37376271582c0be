#include "http_session.h"

#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <sstream>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Interval at which the number of unacknowledged bytes is polled once an answer is written.
static constexpr std::chrono::milliseconds acknowledgement_poll_interval{2};
static constexpr unsigned http_1_1 = 11;
/// Of the object of a connection and its sockets, as allocated.
static constexpr std::size_t connection_bytes = 4096;

namespace {

/// The exchange that is passed to the handler; it may outlive the connection.
class session_exchange : public exchange {
public:
    explicit session_exchange(std::shared_ptr<http_session> session) : session(std::move(session))
    {
    }

    session_exchange(const session_exchange&) = delete;
    session_exchange& operator=(const session_exchange&) = delete;

    ~session_exchange() override
    {
        if (!this->is_ended) {
            this->session->abort_answer();
        }
    }

    void respond(int status, header_list headers, std::string body,
                 delivered_handler delivered) override
    {
        this->session->start_answer(status, headers, body.size());
        this->session->write(std::move(body));
        this->end(std::move(delivered));
    }

    void start(int status, header_list headers) override
    {
        this->session->start_answer(status, headers, std::nullopt);
    }

    void send(std::string bytes) override
    {
        if (!bytes.empty()) {
            this->session->write(beast::buffers_to_string(http::make_chunk(asio::buffer(bytes))));
        }
    }

    void finish(std::string bytes, delivered_handler delivered) override
    {
        this->send(std::move(bytes));
        this->session->write(beast::buffers_to_string(http::make_chunk_last()));
        this->end(std::move(delivered));
    }

    void abort() override
    {
        this->is_ended = true;
        this->session->abort_answer();
    }

    void on_caller_disconnected(std::function<void()> handler) override
    {
        this->session->on_caller_disconnected(std::move(handler));
    }

private:
    void end(delivered_handler delivered)
    {
        assert(!this->is_ended && "an exchange ends once");
        this->is_ended = true;
        this->session->end_answer(std::move(delivered));
    }

    std::shared_ptr<http_session> session;
    bool is_ended = false;
};

} // namespace

http_session::http_session(asio::ip::tcp::socket socket, std::shared_ptr<session_context> owner)
    : stream(std::move(socket)),
      deadline_timer(stream.get_executor()),
      poll_timer(stream.get_executor()),
      context(std::move(owner)),
      account(context->budget->open(peer_address(), *this)),
      reader(account)
{
    boost::system::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    this->stream.socket().non_blocking(true, ignored);
    this->account->charge(connection_bytes);
}

std::string http_session::peer_address()
{
    boost::system::error_code failure;
    const auto remote = this->stream.socket().remote_endpoint(failure);
    return failure ? std::string{} : remote.address().to_string();
}

void http_session::handle_request()
{
    this->current = phase::answering;
    this->deadline_timer.cancel();
    this->account->set_evictable(false);
    this->keep_alive = this->reader.keeps_alive();
    this->is_answering = true;
    ++this->context->active_exchanges;
    this->watch_for_disconnect();
    auto self = this->shared_from_this();
    this->context->handler.handle(this->reader.take(), std::make_shared<session_exchange>(self));
}

// While an answer is being sent, the connection becomes readable when the caller sends its next
// request or disconnects; only a disconnect is handled.
void http_session::watch_for_disconnect()
{
    auto self = this->shared_from_this();
    this->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self](boost::system::error_code failure) {
            if (failure || !self->is_answering || !self->is_connected) {
                return;
            }
            char byte = 0;
            const auto peeked =
                ::recv(self->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            // A caller may close its side once it has read the end of the answer; the count of
            // unacknowledged bytes then shows whether it received all of it.
            const bool closed_after_end = peeked == 0 && self->is_ending;
            if (peeked <= 0 && !closed_after_end) {
                self->fail_connection("caller closed the connection");
                return;
            }
            if (peeked > 0) {
                // The kernel may hold a full window for this connection until the answer ends.
                self->unread_charge = session_context::receive_buffer_bytes;
                self->account->set_evictable(true);
                self->account->charge(self->unread_charge);
            }
        });
}

void http_session::start_answer(int status, const header_list& headers,
                                std::optional<std::size_t> length)
{
    http::response<http::empty_body> head;
    head.version(http_1_1);
    // The number is kept as it is: the enumeration of the library has only a part of all statuses.
    head.result(static_cast<unsigned>(status));
    if (head.result() == http::status::unknown) {
        head.reason("Unregistered Status");
    }
    for (const auto& [name, value] : headers) {
        head.insert(name, value);
    }
    this->keep_alive = this->keep_alive && !this->context->is_draining;
    head.keep_alive(this->keep_alive);
    if (length) {
        head.content_length(*length);
    }
    else {
        head.chunked(true);
    }
    std::ostringstream text;
    text << head.base();
    this->write(text.str());
}

void http_session::write(std::string bytes)
{
    if (!this->is_connected || bytes.empty()) {
        return;
    }
    this->unsent_bytes += bytes.size();
    this->output.push_back(std::move(bytes));
    if (this->unsent_bytes > this->context->max_unsent_bytes() && this->output.size() > 2) {
        this->context->count_closed("unread");
        this->fail_connection("caller reads too slowly");
        return;
    }
    this->account->set_evictable(this->current == phase::answering);
    this->account->charge(this->output.back().capacity());
    if (!this->is_writing) {
        this->write_next();
    }
}

void http_session::write_next()
{
    this->is_writing = true;
    this->stream.expires_after(this->context->limits.write_timeout);
    auto self = this->shared_from_this();
    asio::async_write(
        this->stream, asio::buffer(this->output.front()),
        [self](boost::system::error_code failure, std::size_t) { self->on_written(failure); });
}

void http_session::on_written(boost::system::error_code failure)
{
    this->is_writing = false;
    if (!this->is_connected) {
        return;
    }
    if (failure) {
        this->fail_connection(failure.message());
        return;
    }
    this->unsent_bytes -= this->output.front().size();
    const auto written = this->output.front().capacity();
    this->output.pop_front();
    this->account->release(written);
    if (!this->output.empty()) {
        this->write_next();
        return;
    }
    this->stream.expires_never();
    this->account->set_evictable(this->unread_charge > 0);
    if (this->close_after_write) {
        this->linger();
        return;
    }
    if (this->is_ending) {
        this->on_answer_written();
    }
}

void http_session::end_answer(exchange::delivered_handler handler)
{
    if (!this->is_connected) {
        if (handler) {
            handler(
                make_error(errc::unavailable, "send answer", this->peer(), "connection is closed"));
        }
        return;
    }
    this->delivered_handler = std::move(handler);
    this->is_ending = true;
    if (!this->is_writing) {
        this->on_answer_written();
    }
}

// Without a handler there is no need to wait for the acknowledgement.
void http_session::on_answer_written()
{
    if (!this->delivered_handler) {
        this->on_answer_delivered();
        return;
    }
    this->remaining_acknowledgement_time = this->context->limits.write_timeout;
    this->wait_for_acknowledgement();
}

/// After a reset the kernel discards the unacknowledged bytes, so their count is of no use.
static bool is_reset(int socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const bool known = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return !known || info.tcpi_state == TCP_CLOSE;
}

// Polls SIOCOUTQ, the number of bytes that the caller has not acknowledged.
void http_session::wait_for_acknowledgement()
{
    if (is_reset(this->stream.socket().native_handle())) {
        this->fail_connection("caller reset the connection");
        return;
    }
    int unacknowledged = 0;
    if (::ioctl(this->stream.socket().native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
        this->fail_connection("unacknowledged bytes cannot be read");
        return;
    }
    if (unacknowledged == 0) {
        this->on_answer_delivered();
        return;
    }
    this->remaining_acknowledgement_time -= acknowledgement_poll_interval;
    if (this->remaining_acknowledgement_time <= duration::zero()) {
        this->fail_connection("caller does not acknowledge the answer");
        return;
    }
    this->poll_timer.expires_after(acknowledgement_poll_interval);
    auto self = this->shared_from_this();
    this->poll_timer.async_wait([self](boost::system::error_code failure) {
        if (!failure && self->is_connected) {
            self->wait_for_acknowledgement();
        }
    });
}

void http_session::on_answer_delivered()
{
    this->is_answering = false;
    this->is_ending = false;
    this->account->release(std::exchange(this->unread_charge, 0));
    this->disconnect_handler = nullptr;
    --this->context->active_exchanges;
    const auto handler = std::exchange(this->delivered_handler, nullptr);
    boost::system::error_code ignored;
    this->stream.socket().cancel(ignored);
    if (!this->keep_alive || this->context->is_draining) {
        this->close();
    }
    else {
        this->wait_for_request();
    }
    if (handler) {
        handler(boost::outcome_v2::success());
    }
}

void http_session::abort_answer()
{
    if (this->is_connected && this->is_answering) {
        this->disconnect_handler = nullptr;
        this->close();
    }
}

void http_session::on_caller_disconnected(std::function<void()> handler)
{
    if (this->is_connected) {
        this->disconnect_handler = std::move(handler);
    }
}

void http_session::fail_connection(const std::string& detail)
{
    const auto peer_name = this->peer();
    const auto handler = std::exchange(this->delivered_handler, nullptr);
    const auto handle_disconnect = std::exchange(this->disconnect_handler, nullptr);
    this->close();
    if (handler) {
        handler(make_error(errc::unavailable, "send answer", peer_name, detail));
    }
    else if (handle_disconnect) {
        handle_disconnect();
    }
}

void http_session::close_if_idle()
{
    if (this->current == phase::idle) {
        this->close();
    }
}

void http_session::close()
{
    if (!this->is_connected) {
        return;
    }
    auto self = this->shared_from_this();
    this->is_connected = false;
    if (this->is_answering) {
        --this->context->active_exchanges;
        this->is_answering = false;
    }
    this->account->close();
    this->reader.clear();
    this->deadline_timer.cancel();
    this->poll_timer.cancel();
    this->stream.cancel();
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->stream.close();
    this->context->remove(*this);
}

std::string http_session::peer() const
{
    boost::system::error_code failure;
    const auto remote =
        const_cast<beast::tcp_stream&>(this->stream).socket().remote_endpoint(failure);
    if (failure) {
        return "caller";
    }
    std::ostringstream text;
    text << "caller " << remote;
    return text.str();
}

} // namespace eelgrassbend
