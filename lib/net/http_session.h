#ifndef EELGRASSBEND_LIB_NET_HTTP_SESSION_H
#define EELGRASSBEND_LIB_NET_HTTP_SESSION_H

#include "eelgrassbend/net/client_budget.h"
#include "eelgrassbend/net/http_server.h"

#include "request_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrassbend {

class http_session;

/// State that the sessions of a server share.
struct session_context : std::enable_shared_from_this<session_context> {
    /// Bytes that the kernel holds for a connection that is not read.
    static constexpr std::size_t receive_buffer_bytes = std::size_t{64} * 1024;

    session_context(http_limits limits, http_handler& handler, const client_services& services);

    void open(boost::asio::ip::tcp::socket socket);
    void remove(http_session& session);
    void drain();
    void close_all();
    void count_refused(std::string_view reason) const;
    void count_closed(std::string_view reason) const;
    /// Whether as many connections wait for memory as the kernel may hold bytes for.
    [[nodiscard]] bool has_many_waiting() const;
    [[nodiscard]] std::size_t max_unsent_bytes() const;

    http_limits limits;
    http_handler& handler;
    std::shared_ptr<client_budget> budget;
    client_observer* observer;
    bool is_draining = false;
    std::size_t active_exchanges = 0;
    std::set<std::shared_ptr<http_session>> sessions;
    std::array<char, receive_buffer_bytes> scratch{}; ///< one read at a time

private:
    bool close_longest_idle();
};

/// A connection of a caller. Its requests are handled one at a time.
class http_session : public std::enable_shared_from_this<http_session>, public budget_holder {
public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<session_context> owner);
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    ~http_session() override { this->account->close(); }

    void wait_for_request();
    void close();
    void close_if_idle();
    /// `reason` is the label of the metric.
    void reject_and_close(boost::beast::http::status status, const std::string& detail,
                          std::string_view reason);

    void start_answer(int status, const header_list& headers, std::optional<std::size_t> length);
    void write(std::string bytes);
    void end_answer(exchange::delivered_handler delivered);
    void abort_answer();
    void on_caller_disconnected(std::function<void()> handler);

    void on_room() override;
    void on_evicted() override;

    [[nodiscard]] bool is_open() const { return this->is_connected; }

    /// Since when the connection has waited for a request; empty if it does not.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> waits_since() const
    {
        return this->current == phase::idle ? std::optional{this->idle_since} : std::nullopt;
    }

private:
    enum class phase { idle, head, body, answering, rejecting, lingering };

    std::string peer_address();
    void begin_request();
    void wait_readable();
    void read_available();
    void handle_progress(request_reader::progress progress);
    void pause();
    void wait_in_pause();
    void end_pause();
    void refuse_for_memory();
    void set_deadline(duration delay);
    void on_deadline();
    void linger();
    void discard(std::size_t length);
    void handle_request();
    void watch_for_disconnect();
    void write_next();
    void on_written(boost::system::error_code failure);
    void on_answer_written();
    void wait_for_acknowledgement();
    void on_answer_delivered();
    void fail_connection(const std::string& detail);
    [[nodiscard]] std::string peer() const;

    boost::beast::tcp_stream stream;
    boost::asio::steady_timer deadline_timer; ///< of the phase
    boost::asio::steady_timer poll_timer;     ///< of a pause, or of the acknowledgement
    std::shared_ptr<session_context> context;
    std::shared_ptr<client_budget::account> account;
    request_reader reader;
    phase current = phase::idle;
    std::chrono::steady_clock::time_point idle_since;
    std::chrono::steady_clock::time_point request_started;
    std::deque<std::string> output;
    std::size_t unsent_bytes = 0;
    std::size_t unread_charge = 0; ///< for requests that wait in the kernel
    std::size_t discarded_bytes = 0;
    exchange::delivered_handler delivered_handler;
    std::function<void()> disconnect_handler;
    duration remaining_acknowledgement_time{};
    bool is_connected = true;
    bool is_paused = false;
    bool is_waiting_readable = false;
    bool is_writing = false;
    bool is_answering = false;
    bool is_ending = false;
    bool keep_alive = true;
    bool close_after_write = false;
};

} // namespace eelgrassbend

#endif
