#include "http_session.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

namespace http = boost::beast::http;

/// Budget of a server that shares none: a quarter of the smallest host.
static constexpr std::size_t default_budget_bytes = std::size_t{40} * 1024 * 1024;
/// Connections beyond the limit that are told so; more are closed at once.
static constexpr std::size_t max_rejected = 32;
/// A connection that has waited for less may be about to carry a request.
static constexpr std::chrono::seconds min_idle_time{1};

session_context::session_context(http_limits limits, http_handler& handler,
                                 const client_services& services)
    : limits(limits), handler(handler), budget(services.budget), observer(services.observer)
{
    if (this->budget == nullptr) {
        this->budget = std::make_shared<client_budget>(default_budget_bytes);
    }
}

// At the limit, a connection that is kept without use gives way to a new one.
void session_context::open(boost::asio::ip::tcp::socket socket)
{
    const auto limit = this->limits.max_connections;
    const bool is_full = this->sessions.size() >= limit && !this->close_longest_idle();
    if (is_full && this->sessions.size() >= limit + max_rejected) {
        this->count_refused("connections");
        return;
    }
    auto session = std::make_shared<http_session>(std::move(socket), this->shared_from_this());
    this->sessions.insert(session);
    if (is_full) {
        session->reject_and_close(http::status::service_unavailable, "too many connections",
                                  "connections");
        return;
    }
    session->wait_for_request();
}

bool session_context::close_longest_idle()
{
    auto oldest = std::chrono::steady_clock::now() - min_idle_time;
    std::shared_ptr<http_session> found;
    for (const auto& session : this->sessions) {
        if (const auto since = session->waits_since(); since && *since < oldest) {
            oldest = *since;
            found = session;
        }
    }
    if (found) {
        this->count_closed("connections");
        found->close();
    }
    return found != nullptr;
}

void session_context::remove(http_session& session)
{
    this->sessions.erase(session.shared_from_this());
}

void session_context::drain()
{
    this->is_draining = true;
    const auto copy = this->sessions;
    for (const auto& session : copy) {
        session->close_if_idle();
    }
}

void session_context::close_all()
{
    const auto copy = this->sessions;
    for (const auto& session : copy) {
        session->close();
    }
}

void session_context::count_refused(std::string_view reason) const
{
    if (this->observer != nullptr) {
        this->observer->on_refused(reason);
    }
}

void session_context::count_closed(std::string_view reason) const
{
    if (this->observer != nullptr) {
        this->observer->on_closed(reason);
    }
}

// An eighth of the budget may be in the kernel and, not yet parsed, in the process.
bool session_context::has_many_waiting() const
{
    constexpr std::size_t min_waiting = 4;
    const auto most = this->budget->capacity() / 8 / (2 * receive_buffer_bytes);
    return this->budget->waiting() >= std::max(min_waiting, most);
}

std::size_t session_context::max_unsent_bytes() const
{
    return std::min(this->limits.max_unsent_bytes, this->budget->capacity() / 8);
}

} // namespace eelgrassbend
