#include "eelgrassbend/net/asio_endpoint_client.h"

#include "answer_head.h"
#include "endpoint_pool.h"

#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr unsigned http_1_1 = 11;
static constexpr std::size_t read_buffer_bytes = 16 * 1024;
/// Number of interim (1xx) answers that may precede the final one.
static constexpr int max_interim_answers = 8;

/// A single attempt and its connection.
class endpoint_attempt : public retirable_attempt,
                         public std::enable_shared_from_this<endpoint_attempt> {
public:
    endpoint_attempt(std::shared_ptr<asio_endpoint_client::pool> pool, network_address address,
                     endpoint_request request, attempt_observer& observer)
        : pool(std::move(pool)),
          address(std::move(address)),
          request(std::move(request)),
          observer(&observer),
          progress_timer(this->pool->context)
    {
    }

    ~endpoint_attempt() override;
    endpoint_attempt(const endpoint_attempt&) = delete;
    endpoint_attempt& operator=(const endpoint_attempt&) = delete;

    void start();
    void cancel();
    void retire(std::uint64_t generation) override;

    [[nodiscard]] bool is_active() const override { return this->observer != nullptr; }

private:
    void connect();
    void handle_connect_failure(error_code failure);
    void send();
    void on_request_sent(error_code failure);
    [[nodiscard]] bool is_answer_to_attempt() const;
    void read_head();
    void on_head_read(error_code failure);
    void read_body();
    void on_body_read(error_code failure, std::size_t length);
    [[nodiscard]] duration idle_timeout() const;
    void finish();
    void skip_answer();
    void skip_interim_answer();
    void fail(errc code, const std::string& detail);
    void reset_connection();
    void restart_progress_timer();

    std::shared_ptr<asio_endpoint_client::pool> pool;
    network_address address;
    endpoint_request request;
    attempt_observer* observer;
    asio::steady_timer progress_timer;
    http_connection_ptr connection;
    std::optional<http::request<http::span_body<const char>>> message;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, read_buffer_bytes> chunk{};
    dispatch_state sent_state = dispatch_state::not_sent;
    bool is_mismatched = false; ///< whether the current answer belongs to another attempt
    int skipped_answers = 0;
    int interim_answers = 0;
    std::chrono::steady_clock::time_point last_progress;
};

endpoint_attempt::~endpoint_attempt()
{
    this->pool->remove_unused_entry(this->address);
}

void endpoint_attempt::start()
{
    if (!this->request.needs_new_connection) {
        this->connection = this->pool->acquire_idle(this->address);
    }
    if (this->connection) {
        this->send();
        return;
    }
    this->connect();
}

void endpoint_attempt::connect()
{
    error_code failure;
    const auto ip = asio::ip::make_address(this->address.ip, failure);
    if (failure) {
        this->fail(errc::invalid_argument, "not an IP number");
        return;
    }
    this->connection = this->pool->create_connection(this->address);
    if (!this->connection) {
        this->fail(errc::unavailable, "no descriptor is left");
        return;
    }
    this->connection->stream.expires_after(this->pool->limits.connect_timeout);
    auto self = this->shared_from_this();
    this->connection->stream.async_connect(
        asio::ip::tcp::endpoint{ip, this->address.port}, [self](error_code connect_failure) {
            if (!self->is_active()) {
                return;
            }
            if (connect_failure) {
                self->handle_connect_failure(connect_failure);
                return;
            }
            error_code ignored;
            self->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->send();
        });
}

void endpoint_attempt::handle_connect_failure(error_code failure)
{
    if (this->request.falls_back_to_pooled && failure != beast::error::timeout) {
        if (auto pooled = this->pool->acquire_idle(this->address)) {
            this->connection = std::move(pooled);
            this->send();
            return;
        }
    }
    this->fail(errc::unavailable, failure.message());
}

void endpoint_attempt::send()
{
    this->connection->stream.expires_never();
    this->message.emplace(http::verb::unknown, this->request.target, http_1_1);
    this->message->method_string(this->request.method);
    this->message->set(http::field::host, this->address.to_string());
    for (const auto& [name, value] : this->request.headers) {
        if (boost::algorithm::iequals(name, "Host")) {
            this->message->set(http::field::host, value);
            continue;
        }
        this->message->insert(name, value);
    }
    if (!this->request.attempt.value().empty()) {
        this->message->set(this->pool->limits.attempt_header, this->request.attempt.value());
    }
    const auto body = this->request.body.view();
    this->message->body() = {body.data(), body.size()};
    this->message->prepare_payload();
    this->sent_state = dispatch_state::maybe_sent;
    this->restart_progress_timer();
    auto self = this->shared_from_this();
    http::async_write(this->connection->stream, *this->message,
                      [self](error_code failure, std::size_t) { self->on_request_sent(failure); });
}

void endpoint_attempt::on_request_sent(error_code failure)
{
    if (!this->is_active()) {
        return;
    }
    if (failure) {
        this->fail(errc::outcome_unknown, failure.message());
        return;
    }
    this->message.reset();
    this->request.body.reset();
    this->observer->on_sent();
    this->read_head();
}

// An endpoint may omit the attempt id when it refuses a request. Such an answer is accepted only if
// no other attempt was answered on the connection: a faulty endpoint may repeat an earlier answer.
bool endpoint_attempt::is_answer_to_attempt() const
{
    const auto& head = this->parser->get();
    const auto echoed = head.find(this->pool->limits.attempt_header);
    if (echoed == head.end()) {
        return this->pool->limits.allows_missing_attempt_id && !this->connection->has_answered;
    }
    return echoed->value() == this->request.attempt.value();
}

void endpoint_attempt::read_head()
{
    this->parser.emplace();
    this->parser->body_limit(this->pool->limits.max_body_bytes);
    async_read_answer_head(
        this->connection, *this->parser, this->pool->limits.max_header_bytes,
        [self = this->shared_from_this()](error_code failure) { self->on_head_read(failure); });
}

void endpoint_attempt::on_head_read(error_code failure)
{
    if (!this->is_active()) {
        return;
    }
    if (failure) {
        this->fail(errc::outcome_unknown, failure.message());
        return;
    }
    const auto& head = this->parser->get();
    if (is_interim_status(head.result_int())) {
        this->skip_interim_answer();
        return;
    }
    if (!is_final_status(head.result_int())) {
        this->fail(errc::outcome_unknown, "invalid status " + std::to_string(head.result_int()));
        return;
    }
    this->is_mismatched = !this->is_answer_to_attempt();
    if (this->is_mismatched) {
        this->skip_answer();
        return;
    }
    this->connection->stream.expires_never();
    this->restart_progress_timer();
    header_list headers;
    for (const auto& field : head) {
        headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    this->observer->on_head(static_cast<int>(head.result_int()), headers);
    if (this->is_active()) {
        this->read_body();
    }
}

void endpoint_attempt::read_body()
{
    if (this->parser->is_done()) {
        this->finish();
        return;
    }
    auto& body = this->parser->get().body();
    body.data = this->chunk.data();
    body.size = this->chunk.size();
    auto self = this->shared_from_this();
    http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser,
        [self](error_code failure, std::size_t length) { self->on_body_read(failure, length); });
}

void endpoint_attempt::on_body_read(error_code failure, std::size_t)
{
    if (!this->is_active()) {
        return;
    }
    if (failure && failure != http::error::need_buffer) {
        this->fail(errc::truncated, failure.message());
        return;
    }
    const auto received = this->chunk.size() - this->parser->get().body().size;
    if (received > 0 && !this->is_mismatched) {
        this->restart_progress_timer();
        this->observer->on_body({this->chunk.data(), received});
    }
    if (this->is_active()) {
        this->read_body();
    }
}

// A request that races with the endpoint closing an idle connection cannot be distinguished from
// one that was executed, so a connection is not reused after half of the announced timeout.
duration endpoint_attempt::idle_timeout() const
{
    constexpr std::string_view parameter = "timeout=";
    const auto max_idle_timeout = this->pool->limits.idle_timeout;
    const auto field = this->parser->get()["Keep-Alive"];
    const std::string_view announced{field.data(), field.size()};
    const auto start = announced.find(parameter);
    if (start == std::string_view::npos) {
        return max_idle_timeout;
    }
    const auto number = announced.substr(start + parameter.size());
    std::int64_t seconds = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc{}) {
        return max_idle_timeout;
    }
    return std::min(max_idle_timeout, duration{std::chrono::seconds{seconds}} / 2);
}

void endpoint_attempt::finish()
{
    // A close-delimited answer cannot be distinguished from a truncated one, unless the endpoint
    // is known to reset the connection when it aborts an answer.
    if (this->parser->need_eof() && !this->pool->limits.allows_close_delimited_bodies) {
        this->fail(errc::truncated, "answer has no length");
        return;
    }
    if (this->is_mismatched) {
        this->read_head();
        return;
    }
    this->progress_timer.cancel();
    if (this->parser->keep_alive() && this->connection->buffer.size() == 0) {
        this->connection->has_answered = true;
        this->pool->release(this->address, std::move(this->connection), this->idle_timeout());
    }
    std::exchange(this->observer, nullptr)->on_completed();
}

void endpoint_attempt::skip_interim_answer()
{
    if (++this->interim_answers > max_interim_answers) {
        this->fail(errc::outcome_unknown, "too many interim answers");
        return;
    }
    this->read_head();
}

// A late duplicate answer to an earlier request may precede the answer to this one. One without an
// attempt id may also be the answer to this one, so that no other follows.
void endpoint_attempt::skip_answer()
{
    if (this->pool->limits.allows_missing_attempt_id &&
        this->parser->get().find(this->pool->limits.attempt_header) == this->parser->get().end()) {
        this->connection->stream.expires_after(this->pool->limits.unidentified_answer_timeout);
    }
    if (!this->parser->keep_alive() ||
        ++this->skipped_answers > this->pool->limits.max_skipped_answers) {
        this->fail(errc::mismatched, "answer is for another attempt");
        return;
    }
    this->read_body();
}

void endpoint_attempt::fail(errc code, const std::string& detail)
{
    if (!this->is_active()) {
        return;
    }
    this->progress_timer.cancel();
    this->reset_connection();
    std::exchange(this->observer, nullptr)
        ->on_failed(make_error(code, "call endpoint", this->address.to_string(), detail),
                    this->sent_state);
}

void endpoint_attempt::cancel()
{
    this->observer = nullptr;
    this->progress_timer.cancel();
    this->reset_connection();
}

// An orderly close would still deliver a request that is held up on the way.
void endpoint_attempt::reset_connection()
{
    if (!this->connection) {
        return;
    }
    error_code ignored; // a socket that is not open has nothing to deliver
    this->connection->stream.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    this->connection->stream.close();
}

void endpoint_attempt::retire(std::uint64_t generation)
{
    if (!this->connection || this->connection->generation >= generation ||
        this->sent_state == dispatch_state::not_sent) {
        return;
    }
    // A connection that still delivers bytes is usable, however old it is.
    const auto silent_for = std::chrono::steady_clock::now() - this->last_progress;
    if (silent_for >= this->request.progress_timeout / 2) {
        this->fail(errc::timed_out, "connection was retired");
    }
}

void endpoint_attempt::restart_progress_timer()
{
    this->last_progress = std::chrono::steady_clock::now();
    if (this->request.progress_timeout <= duration::zero()) {
        return;
    }
    this->progress_timer.expires_after(this->request.progress_timeout);
    std::weak_ptr<endpoint_attempt> weak = this->shared_from_this();
    this->progress_timer.async_wait([weak](error_code failure) {
        const auto self = weak.lock();
        if (failure || !self || !self->is_active()) {
            return;
        }
        self->pool->probe(self->address);
        self->fail(errc::timed_out, "no progress");
    });
}

namespace {

class owning_attempt_handle : public attempt_handle {
public:
    explicit owning_attempt_handle(std::shared_ptr<endpoint_attempt> attempt)
        : attempt(std::move(attempt))
    {
    }

    owning_attempt_handle(const owning_attempt_handle&) = delete;
    owning_attempt_handle& operator=(const owning_attempt_handle&) = delete;

    ~owning_attempt_handle() override { this->attempt->cancel(); }

private:
    std::shared_ptr<endpoint_attempt> attempt;
};

} // namespace

asio_endpoint_client::asio_endpoint_client(asio::io_context& context, endpoint_client_limits limits,
                                           descriptor_budget* descriptors)
    : shared(std::make_shared<pool>(context, std::move(limits), descriptors))
{
}

asio_endpoint_client::~asio_endpoint_client()
{
    this->shared->connections->detach();
}

std::unique_ptr<attempt_handle> asio_endpoint_client::dispatch(const network_address& endpoint,
                                                               endpoint_request request,
                                                               attempt_observer& observer)
{
    auto attempt =
        std::make_shared<endpoint_attempt>(this->shared, endpoint, std::move(request), observer);
    auto& attempts = this->shared->entry_of(endpoint).attempts;
    std::erase_if(attempts, [](const auto& weak) { return weak.expired(); });
    attempts.push_back(attempt);
    asio::post(this->shared->context, [attempt] {
        if (attempt->is_active()) {
            attempt->start();
        }
    });
    return std::make_unique<owning_attempt_handle>(std::move(attempt));
}

bool asio_endpoint_client::has_idle(const network_address& endpoint) const
{
    return this->shared->connections->has_idle(endpoint);
}

void asio_endpoint_client::forget(const network_address& endpoint)
{
    this->shared->forget(endpoint);
}

} // namespace eelgrassbend
