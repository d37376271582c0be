#include "connection_pool.h"

#include "reusable_socket.h"

#include <algorithm>

namespace eelgrassbend {

/// Bound of the bytes that are buffered ahead of the parser. Nothing else bounds chunk extensions
/// and trailers.
static constexpr std::size_t max_unparsed_bytes = 128 * 1024;
/// A sweep makes one system call for each idle connection. With 2,000 of them, one sweep a second
/// takes about 0.1% of a core.
static constexpr std::chrono::seconds sweep_interval{1};

http_connection::http_connection(boost::asio::io_context& context,
                                 std::shared_ptr<std::size_t> open_count)
    : stream(context), buffer(max_unparsed_bytes), open_count(std::move(open_count))
{
    ++*this->open_count;
}

http_connection::~http_connection()
{
    --*this->open_count;
}

connection_pool::connection_pool(boost::asio::io_context& context, std::size_t max_idle_per_peer,
                                 descriptor_budget* descriptors)
    : context(context),
      max_idle_per_peer(max_idle_per_peer),
      descriptors(descriptors),
      sweep_timer(context)
{
    if (this->descriptors != nullptr) {
        this->descriptors->add(*this);
    }
}

connection_pool::~connection_pool()
{
    this->detach();
}

void connection_pool::detach()
{
    if (auto* budget = std::exchange(this->descriptors, nullptr)) {
        budget->remove(*this);
    }
}

http_connection_ptr connection_pool::create()
{
    if (this->descriptors != nullptr && !this->descriptors->make_room()) {
        return nullptr;
    }
    ++this->opened;
    return std::make_shared<http_connection>(this->context, this->open_count);
}

http_connection_ptr connection_pool::acquire_idle(const network_address& peer)
{
    const auto found = this->idle.find(peer);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    http_connection_ptr acquired;
    while (!acquired && !found->second.empty()) {
        auto candidate = std::move(found->second.back());
        found->second.pop_back();
        --this->idle_count;
        if (now < candidate.expires_at && is_reusable(candidate.connection->stream.socket())) {
            acquired = std::move(candidate.connection);
            ++this->reused;
        }
    }
    if (found->second.empty()) {
        this->idle.erase(found);
    }
    return acquired;
}

void connection_pool::release(const network_address& peer, http_connection_ptr connection,
                              duration idle_timeout)
{
    const auto now = std::chrono::steady_clock::now();
    auto& connections = this->idle[peer];
    connections.push_back({std::move(connection), now, now + idle_timeout});
    ++this->idle_count;
    if (connections.size() > this->max_idle_per_peer) {
        connections.pop_front();
        --this->idle_count;
    }
    this->schedule_sweep();
}

void connection_pool::close_idle_to(const network_address& peer)
{
    if (const auto found = this->idle.find(peer); found != this->idle.end()) {
        this->idle_count -= found->second.size();
        this->idle.erase(found);
    }
}

bool connection_pool::has_idle(const network_address& peer) const
{
    const auto found = this->idle.find(peer);
    if (found == this->idle.end()) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& each) { return now < each.expires_at; });
}

connection_counts connection_pool::connections() const
{
    return {*this->open_count, this->idle_count, this->opened, this->reused};
}

std::size_t connection_pool::close_idle(std::size_t count)
{
    std::size_t closed = 0;
    for (; closed < count && !this->idle.empty(); ++closed) {
        const auto oldest = std::min_element(
            this->idle.begin(), this->idle.end(), [](const auto& left, const auto& right) {
                return left.second.front().idle_since < right.second.front().idle_since;
            });
        oldest->second.pop_front();
        --this->idle_count;
        if (oldest->second.empty()) {
            this->idle.erase(oldest);
        }
    }
    return closed;
}

void connection_pool::schedule_sweep()
{
    if (std::exchange(this->is_sweep_scheduled, true)) {
        return;
    }
    this->sweep_timer.expires_after(sweep_interval);
    this->sweep_timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code failure) {
            if (const auto self = weak.lock(); self && !failure) {
                self->sweep();
            }
        });
}

void connection_pool::sweep()
{
    this->is_sweep_scheduled = false;
    const auto now = std::chrono::steady_clock::now();
    for (auto& [peer, connections] : this->idle) {
        this->idle_count -= std::erase_if(connections, [&](auto& each) {
            return now >= each.expires_at || !is_reusable(each.connection->stream.socket());
        });
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
    if (!this->idle.empty()) {
        this->schedule_sweep();
    }
}

} // namespace eelgrassbend
