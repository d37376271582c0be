#include "http_session.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr unsigned http_1_1 = 11;
/// Time for which a connection is not read before others have to close for it.
static constexpr std::chrono::milliseconds pause_limit{500};
/// Time and, with the limit of bodies, bytes for which a refused caller may go on to send.
static constexpr std::chrono::seconds linger_limit{1};
/// In seconds. Other nodes are likely to have room, and a retry arrives at any node.
static constexpr const char* refusal_retry_after = "0.2";

// The idle timeout applies between requests; the header and read timeouts apply from the first byte
// of a request.
void http_session::wait_for_request()
{
    this->current = phase::idle;
    this->idle_since = std::chrono::steady_clock::now();
    this->account->set_evictable(false);
    this->reader.end_request();
    if (this->reader.has_unparsed()) {
        this->begin_request();
        this->handle_progress(this->reader.advance({}));
        return;
    }
    this->set_deadline(this->context->limits.idle_timeout);
    this->wait_readable();
}

void http_session::begin_request()
{
    this->current = phase::head;
    this->request_started = std::chrono::steady_clock::now();
    this->account->set_evictable(true);
    const auto& limits = this->context->limits;
    this->reader.start(limits);
    this->set_deadline(std::min(limits.header_timeout, limits.read_timeout));
}

// Waits without a buffer, so that connections that send nothing hold none.
void http_session::wait_readable()
{
    if (std::exchange(this->is_waiting_readable, true)) {
        return;
    }
    auto self = this->shared_from_this();
    this->stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self](boost::system::error_code failure) {
            self->is_waiting_readable = false;
            if (failure) {
                self->close();
                return;
            }
            // What arrives after a refusal is not parsed: the request
            // would run although it was refused.
            if (self->is_connected && self->current != phase::rejecting) {
                self->read_available();
            }
        });
}

void http_session::read_available()
{
    auto& scratch = this->context->scratch;
    boost::system::error_code failure;
    const auto length = this->stream.socket().read_some(asio::buffer(scratch), failure);
    if (failure == asio::error::would_block) {
        this->wait_readable();
        return;
    }
    if (failure) {
        this->close();
        return;
    }
    if (this->current == phase::lingering) {
        this->discard(length);
        return;
    }
    if (this->current == phase::idle) {
        this->begin_request();
    }
    this->handle_progress(this->reader.advance({scratch.data(), length}));
}

void http_session::handle_progress(request_reader::progress progress)
{
    if (progress == request_reader::progress::has_head) {
        this->current = phase::body;
        const auto spent = std::chrono::steady_clock::now() - this->request_started;
        this->set_deadline(this->context->limits.read_timeout - spent);
        if (this->reader.expects_large_body() && this->context->has_many_waiting()) {
            this->refuse_for_memory();
            return;
        }
        progress = this->reader.advance({});
    }
    switch (progress) {
    case request_reader::progress::has_head:
    case request_reader::progress::needs_input:
        this->wait_readable();
        break;
    case request_reader::progress::needs_room:
        this->pause();
        break;
    case request_reader::progress::has_request:
        this->handle_request();
        break;
    case request_reader::progress::has_failed:
        this->reject_and_close(this->reader.failure().status, this->reader.failure().detail,
                               this->reader.failure().reason);
        break;
    }
}

// The connection is not read until there is room. Small requests do not wait, and the number of
// connections that wait is bounded, since the kernel holds bytes for each.
void http_session::pause()
{
    this->is_paused = true;
    const bool is_small = this->account->held() <= client_budget::small_bytes;
    if (is_small || this->context->has_many_waiting()) {
        this->end_pause();
        return;
    }
    this->wait_in_pause();
}

void http_session::wait_in_pause()
{
    this->poll_timer.expires_after(pause_limit);
    auto self = this->shared_from_this();
    this->poll_timer.async_wait([self](boost::system::error_code failure) {
        if (!failure && self->is_connected && self->is_paused) {
            self->end_pause();
        }
    });
}

// A request that has not begun to send its body is refused; otherwise the largest holder closes.
void http_session::end_pause()
{
    const bool is_small = this->account->held() <= client_budget::small_bytes;
    const bool is_begun = this->reader.has_body_bytes() || is_small;
    if (!is_begun || !this->context->budget->relieve()) {
        this->refuse_for_memory();
        return;
    }
    this->wait_in_pause();
}

void http_session::on_room()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
        if (self->is_connected && std::exchange(self->is_paused, false)) {
            self->poll_timer.cancel();
            self->handle_progress(self->reader.advance({}));
        }
    });
}

void http_session::on_evicted()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
        if (!self->is_connected) {
            return;
        }
        if (self->current == phase::head || self->current == phase::body) {
            self->refuse_for_memory();
            return;
        }
        self->context->count_closed("memory");
        self->fail_connection("the memory for callers is used up");
    });
}

void http_session::refuse_for_memory()
{
    this->is_paused = false;
    this->poll_timer.cancel();
    this->reject_and_close(http::status::service_unavailable, "memory for callers is used up",
                           "memory");
}

void http_session::set_deadline(duration delay)
{
    this->deadline_timer.expires_after(delay);
    auto self = this->shared_from_this();
    this->deadline_timer.async_wait([self](boost::system::error_code failure) {
        // A handler that was queued before the timer was set again is not cancelled.
        const bool is_due = self->deadline_timer.expiry() <= std::chrono::steady_clock::now();
        if (!failure && is_due && self->is_connected) {
            self->on_deadline();
        }
    });
}

void http_session::on_deadline()
{
    if (this->current == phase::head || this->current == phase::body) {
        this->is_paused = false;
        this->reject_and_close(http::status::request_timeout, "request is too slow", "time");
    }
    else if (this->current == phase::idle || this->current == phase::lingering) {
        this->close();
    }
}

// Status 503 and 408 state that the request did not run, which holds for all that are refused here.
void http_session::reject_and_close(http::status status, const std::string& detail,
                                    std::string_view reason)
{
    this->context->count_refused(reason);
    this->current = phase::rejecting;
    this->deadline_timer.cancel();
    this->account->set_evictable(false);
    this->reader.clear();
    http::response<http::string_body> response{status, http_1_1};
    response.set(http::field::content_type, "application/problem+json");
    response.set("Eelgrassbend-Outcome", "not-run");
    if (status == http::status::service_unavailable) {
        response.set(http::field::retry_after, refusal_retry_after);
    }
    response.keep_alive(false);
    response.body() = "{\"step\":\"read request\",\"detail\":\"" + detail + "\"}\n";
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    this->close_after_write = true;
    this->write(text.str());
}

// A close while the caller still sends would discard the refusal on its way.
void http_session::linger()
{
    this->current = phase::lingering;
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_deadline(linger_limit);
    this->wait_readable();
}

void http_session::discard(std::size_t length)
{
    this->discarded_bytes += length;
    if (this->discarded_bytes > this->context->limits.max_body_bytes) {
        this->close();
        return;
    }
    this->wait_readable();
}

} // namespace eelgrassbend
