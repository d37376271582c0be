#include "eelgrassbend/net/asio_endpoint_client.h"

#include "idle_socket.h"

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
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr unsigned http_1_1 = 11;
static constexpr unsigned first_final_status = 200;
static constexpr std::size_t read_buffer_bytes = 16 * 1024;
/// Bytes read ahead of what the parser can take; chunk extensions and trailers are not bounded
/// otherwise.
static constexpr std::size_t most_unparsed = 128 * 1024;
/// Interim (1xx) answers before the final one.
static constexpr int most_interim = 8;

namespace {

/// One TCP connection to an endpoint, with the bytes read ahead.
struct connection {
    connection(asio::io_context& context, std::uint64_t generation)
        : stream(context), buffer(most_unparsed), generation(generation)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::uint64_t generation; ///< connections of an older generation than the pool's are retired
};

using connection_ptr = std::shared_ptr<connection>;

} // namespace

class endpoint_attempt;

/// The connections to all endpoints.
struct asio_endpoint_client::pool : std::enable_shared_from_this<asio_endpoint_client::pool> {
    struct idle_connection {
        connection_ptr link;
        std::chrono::steady_clock::time_point until; ///< used no longer
    };

    struct endpoint_entry {
        std::uint64_t generation = 0;
        bool probing = false;
        std::deque<idle_connection> idle;
        std::vector<std::weak_ptr<endpoint_attempt>> attempts;
    };

    pool(asio::io_context& context, endpoint_client_limits limits)
        : context(context), limits(limits)
    {
    }

    connection_ptr take_idle(const network_address& address);
    void give_back(const network_address& address, connection_ptr link, duration idle_time);
    void probe(const network_address& address);
    void retire_older(const network_address& address, std::uint64_t probed_generation);

    asio::io_context& context;
    endpoint_client_limits limits;
    std::map<network_address, endpoint_entry> entries;
};

/// One attempt on its connection.
class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt> {
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

    void start();
    void cancel();
    /// Fails the attempt if its connection is older than `generation`.
    void retire(std::uint64_t generation);

    [[nodiscard]] bool active() const { return this->observer != nullptr; }

private:
    void connect();
    void send();
    void sent(error_code failure);
    [[nodiscard]] bool is_answer_to_attempt() const;
    void read_head();
    void read_body();
    void body_read(error_code failure, std::size_t length);
    [[nodiscard]] duration idle_time() const;
    void finish();
    void pass_over_answer();
    void pass_over_interim();
    void fail(errc code, const std::string& detail);
    void expect_progress();

    std::shared_ptr<asio_endpoint_client::pool> pool;
    network_address address;
    endpoint_request request;
    attempt_observer* observer;
    asio::steady_timer progress_timer;
    connection_ptr link;
    std::optional<http::request<http::string_body>> message;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, read_buffer_bytes> chunk{};
    dispatch_state dispatched = dispatch_state::not_sent;
    bool is_stray = false; ///< the answer that is being read belongs to another request
    int strays = 0;
    int interims = 0;
    std::chrono::steady_clock::time_point last_progress;
};

connection_ptr asio_endpoint_client::pool::take_idle(const network_address& address)
{
    auto& entry = this->entries[address];
    const auto now = std::chrono::steady_clock::now();
    while (!entry.idle.empty()) {
        auto candidate = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (now < candidate.until && candidate.link->generation == entry.generation &&
            is_quiet(candidate.link->stream.socket())) {
            return candidate.link;
        }
    }
    return nullptr;
}

void asio_endpoint_client::pool::give_back(const network_address& address, connection_ptr link,
                                           duration idle_time)
{
    auto& entry = this->entries[address];
    if (link->generation != entry.generation) {
        return;
    }
    entry.idle.push_back({std::move(link), std::chrono::steady_clock::now() + idle_time});
    if (entry.idle.size() > this->limits.idle_connections) {
        entry.idle.pop_front();
    }
}

// What loses track of old connections still lets new ones through.
void asio_endpoint_client::pool::probe(const network_address& address)
{
    auto& entry = this->entries[address];
    if (entry.probing) {
        return;
    }
    if (this->limits.probe_target.empty()) {
        this->retire_older(address, entry.generation);
        return;
    }
    entry.probing = true;
    auto link = std::make_shared<connection>(this->context, entry.generation);
    link->stream.expires_after(this->limits.connect_timeout);
    auto message = std::make_shared<http::request<http::empty_body>>(
        http::verb::get, this->limits.probe_target, http_1_1);
    message->set(http::field::host, address.to_string());
    auto answer = std::make_shared<http::response<http::string_body>>();
    const auto done = [self = this->shared_from_this(), address, link](bool answered) {
        auto& probed = self->entries[address];
        probed.probing = false;
        if (answered) {
            self->retire_older(address, link->generation);
        }
    };
    link->stream.async_connect(
        asio::ip::tcp::endpoint{asio::ip::make_address(address.ip), address.port},
        [link, message, answer, done](error_code failure) {
            if (failure) {
                done(false);
                return;
            }
            http::async_write(link->stream, *message,
                              [link, message, answer, done](error_code write_failure, std::size_t) {
                                  if (write_failure) {
                                      done(false);
                                      return;
                                  }
                                  http::async_read(link->stream, link->buffer, *answer,
                                                   [link, message, answer,
                                                    done](error_code read_failure, std::size_t) {
                                                       done(!read_failure);
                                                   });
                              });
        });
}

void asio_endpoint_client::pool::retire_older(const network_address& address,
                                              std::uint64_t probed_generation)
{
    auto& entry = this->entries[address];
    if (entry.generation != probed_generation) {
        return;
    }
    ++entry.generation;
    entry.idle.clear();
    const auto attempts = std::exchange(entry.attempts, {});
    for (const auto& weak : attempts) {
        if (const auto attempt = weak.lock(); attempt && attempt->active()) {
            entry.attempts.push_back(weak);
            attempt->retire(entry.generation);
        }
    }
}

void endpoint_attempt::start()
{
    if (!this->request.fresh_connection) {
        this->link = this->pool->take_idle(this->address);
    }
    if (this->link) {
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
    const auto generation = this->pool->entries[this->address].generation;
    this->link = std::make_shared<connection>(this->pool->context, generation);
    this->link->stream.expires_after(this->pool->limits.connect_timeout);
    auto self = this->shared_from_this();
    this->link->stream.async_connect(
        asio::ip::tcp::endpoint{ip, this->address.port}, [self](error_code connect_failure) {
            if (!self->active()) {
                return;
            }
            if (connect_failure) {
                self->fail(errc::unavailable, connect_failure.message());
                return;
            }
            error_code ignored;
            self->link->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->send();
        });
}

void endpoint_attempt::send()
{
    this->link->stream.expires_never();
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
    this->message->set(this->pool->limits.attempt_header, this->request.attempt.value());
    this->message->body() = std::move(this->request.body);
    this->message->prepare_payload();
    this->dispatched = dispatch_state::maybe_sent;
    this->expect_progress();
    auto self = this->shared_from_this();
    http::async_write(this->link->stream, *this->message,
                      [self](error_code failure, std::size_t) { self->sent(failure); });
}

void endpoint_attempt::sent(error_code failure)
{
    if (!this->active()) {
        return;
    }
    if (failure) {
        this->fail(errc::outcome_unknown, failure.message());
        return;
    }
    this->read_head();
}

// An endpoint that refuses a request may not echo its id; the connection then carries nothing
// else, since each one is used by one attempt at a time and closed when anything is left on it.
bool endpoint_attempt::is_answer_to_attempt() const
{
    const auto& head = this->parser->get();
    const auto echoed = head.find(this->pool->limits.attempt_header);
    if (echoed == head.end()) {
        return this->pool->limits.accept_unnamed;
    }
    return echoed->value() == this->request.attempt.value();
}

void endpoint_attempt::read_head()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->pool->limits.head_bytes));
    this->parser->body_limit(this->pool->limits.body_bytes);
    auto self = this->shared_from_this();
    http::async_read_header(this->link->stream, this->link->buffer, *this->parser,
                            [self](error_code failure, std::size_t) {
                                if (!self->active()) {
                                    return;
                                }
                                if (failure) {
                                    self->fail(errc::outcome_unknown, failure.message());
                                    return;
                                }
                                const auto& head = self->parser->get();
                                if (head.result_int() < first_final_status) {
                                    self->pass_over_interim();
                                    return;
                                }
                                self->is_stray = !self->is_answer_to_attempt();
                                if (self->is_stray) {
                                    self->pass_over_answer();
                                    return;
                                }
                                self->expect_progress();
                                header_list headers;
                                for (const auto& field : head) {
                                    headers.emplace_back(std::string{field.name_string()},
                                                         std::string{field.value()});
                                }
                                self->observer->head(static_cast<int>(head.result_int()), headers);
                                if (self->active()) {
                                    self->read_body();
                                }
                            });
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
        this->link->stream, this->link->buffer, *this->parser,
        [self](error_code failure, std::size_t length) { self->body_read(failure, length); });
}

void endpoint_attempt::body_read(error_code failure, std::size_t)
{
    if (!this->active()) {
        return;
    }
    if (failure && failure != http::error::need_buffer) {
        this->fail(errc::truncated, failure.message());
        return;
    }
    const auto received = this->chunk.size() - this->parser->get().body().size;
    if (received > 0 && !this->is_stray) {
        this->expect_progress();
        this->observer->body({this->chunk.data(), received});
    }
    if (this->active()) {
        this->read_body();
    }
}

// A request that crosses the endpoint's close of an idle connection cannot be told from one that
// ran, so the connection is left alone well before.
duration endpoint_attempt::idle_time() const
{
    constexpr std::string_view parameter = "timeout=";
    const auto longest = this->pool->limits.idle_time;
    const auto field = this->parser->get()["Keep-Alive"];
    const std::string_view announced{field.data(), field.size()};
    const auto start = announced.find(parameter);
    if (start == std::string_view::npos) {
        return longest;
    }
    const auto number = announced.substr(start + parameter.size());
    std::int64_t seconds = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), seconds).ec != std::errc{}) {
        return longest;
    }
    return std::min(longest, duration{std::chrono::seconds{seconds}} / 2);
}

void endpoint_attempt::finish()
{
    // An answer that ends with the connection cannot be told from one that was cut, unless the
    // endpoint is known to reset what it cuts.
    if (this->parser->need_eof() && !this->pool->limits.accept_unframed) {
        this->fail(errc::truncated, "answer has no length");
        return;
    }
    if (this->is_stray) {
        this->read_head();
        return;
    }
    this->progress_timer.cancel();
    if (this->parser->keep_alive() && this->link->buffer.size() == 0) {
        this->pool->give_back(this->address, std::move(this->link), this->idle_time());
    }
    std::exchange(this->observer, nullptr)->completed();
}

void endpoint_attempt::pass_over_interim()
{
    if (++this->interims > most_interim) {
        this->fail(errc::outcome_unknown, "too many interim answers");
        return;
    }
    this->read_head();
}

// A late second answer to an earlier request comes before the one that is due.
void endpoint_attempt::pass_over_answer()
{
    if (!this->parser->keep_alive() || ++this->strays > this->pool->limits.skipped_answers) {
        this->fail(errc::mismatched, "answer is for another attempt");
        return;
    }
    this->read_body();
}

void endpoint_attempt::fail(errc code, const std::string& detail)
{
    if (!this->active()) {
        return;
    }
    this->progress_timer.cancel();
    if (this->link) {
        this->link->stream.close();
    }
    std::exchange(this->observer, nullptr)
        ->failed(make_error(code, "call endpoint", this->address.to_string(), detail),
                 this->dispatched);
}

void endpoint_attempt::cancel()
{
    this->observer = nullptr;
    this->progress_timer.cancel();
    if (this->link) {
        this->link->stream.close();
    }
}

void endpoint_attempt::retire(std::uint64_t generation)
{
    if (!this->link || this->link->generation >= generation ||
        this->dispatched == dispatch_state::not_sent) {
        return;
    }
    // A connection that carries an answer is not silent, however old it is.
    const auto silent_for = std::chrono::steady_clock::now() - this->last_progress;
    if (silent_for >= this->request.progress_timeout / 2) {
        this->fail(errc::timed_out, "connection was retired");
    }
}

void endpoint_attempt::expect_progress()
{
    this->last_progress = std::chrono::steady_clock::now();
    if (this->request.progress_timeout <= duration::zero()) {
        return;
    }
    this->progress_timer.expires_after(this->request.progress_timeout);
    std::weak_ptr<endpoint_attempt> weak = this->shared_from_this();
    this->progress_timer.async_wait([weak](error_code failure) {
        const auto self = weak.lock();
        if (failure || !self || !self->active()) {
            return;
        }
        self->pool->probe(self->address);
        self->fail(errc::timed_out, "no progress");
    });
}

namespace {

class attempt_canceller : public attempt_handle {
public:
    explicit attempt_canceller(std::shared_ptr<endpoint_attempt> attempt)
        : attempt(std::move(attempt))
    {
    }

    attempt_canceller(const attempt_canceller&) = delete;
    attempt_canceller& operator=(const attempt_canceller&) = delete;

    ~attempt_canceller() override { this->attempt->cancel(); }

private:
    std::shared_ptr<endpoint_attempt> attempt;
};

} // namespace

asio_endpoint_client::asio_endpoint_client(asio::io_context& context, endpoint_client_limits limits)
    : shared(std::make_shared<pool>(context, limits))
{
}

asio_endpoint_client::~asio_endpoint_client() = default;

std::unique_ptr<attempt_handle> asio_endpoint_client::dispatch(const network_address& endpoint,
                                                               endpoint_request request,
                                                               attempt_observer& observer)
{
    auto attempt =
        std::make_shared<endpoint_attempt>(this->shared, endpoint, std::move(request), observer);
    auto& attempts = this->shared->entries[endpoint].attempts;
    std::erase_if(attempts, [](const auto& weak) { return weak.expired(); });
    attempts.push_back(attempt);
    asio::post(this->shared->context, [attempt] {
        if (attempt->active()) {
            attempt->start();
        }
    });
    return std::make_unique<attempt_canceller>(std::move(attempt));
}

} // namespace eelgrassbend
