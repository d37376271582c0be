#include "endpoint_pool.h"

#include "answer_head.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr unsigned http_1_1 = 11;

// Generations are not used twice, so that a connection from before `forget` is not taken for one of
// a later endpoint with the same address.
asio_endpoint_client::pool::endpoint_entry&
asio_endpoint_client::pool::entry_of(const network_address& address)
{
    const auto [found, is_new] = this->entries.try_emplace(address);
    if (is_new) {
        found->second.generation = ++this->last_generation;
    }
    return found->second;
}

void asio_endpoint_client::pool::remove_unused_entry(const network_address& address)
{
    const auto found = this->entries.find(address);
    if (found == this->entries.end() || found->second.is_probing) {
        return;
    }
    std::erase_if(found->second.attempts, [](const auto& weak) { return weak.expired(); });
    if (found->second.attempts.empty()) {
        this->entries.erase(found);
    }
}

http_connection_ptr asio_endpoint_client::pool::create_connection(const network_address& address)
{
    auto connection = this->connections->create();
    if (connection) {
        connection->generation = this->entry_of(address).generation;
    }
    return connection;
}

// Retired connections are not pooled, so an idle one is of the present generation.
http_connection_ptr asio_endpoint_client::pool::acquire_idle(const network_address& address)
{
    auto connection = this->connections->acquire_idle(address);
    if (connection) {
        connection->generation = this->entry_of(address).generation;
    }
    return connection;
}

void asio_endpoint_client::pool::release(const network_address& address,
                                         http_connection_ptr connection, duration idle_timeout)
{
    if (connection->generation == this->entry_of(address).generation) {
        this->connections->release(address, std::move(connection), idle_timeout);
    }
}

void asio_endpoint_client::pool::forget(const network_address& address)
{
    this->connections->close_idle_to(address);
    if (const auto found = this->entries.find(address); found != this->entries.end()) {
        found->second.generation = ++this->last_generation;
    }
}

// A middlebox that dropped the state of old connections still passes new ones, so the probe uses a
// fresh connection.
void asio_endpoint_client::pool::probe(const network_address& address)
{
    auto& entry = this->entry_of(address);
    if (entry.is_probing) {
        return;
    }
    if (this->limits.probe_target.empty()) {
        this->retire_older_connections(address, entry.generation);
        return;
    }
    auto connection = this->create_connection(address);
    if (!connection) {
        return;
    }
    entry.is_probing = true;
    connection->stream.expires_after(this->limits.connect_timeout);
    auto message = std::make_shared<http::request<http::empty_body>>(
        http::verb::get, this->limits.probe_target, http_1_1);
    message->set(http::field::host, address.to_string());
    auto answer = std::make_shared<http::response_parser<http::empty_body>>();
    const auto max_header_bytes = this->limits.max_header_bytes;
    const auto done = [self = this->shared_from_this(), address,
                       generation = connection->generation](bool is_answered) {
        self->end_probe(address, generation, is_answered);
    };
    connection->stream.async_connect(
        asio::ip::tcp::endpoint{asio::ip::make_address(address.ip), address.port},
        [connection, message, answer, max_header_bytes, done](error_code failure) {
            if (failure) {
                done(false);
                return;
            }
            http::async_write(connection->stream, *message,
                              [connection, message, answer, max_header_bytes,
                               done](error_code write_failure, std::size_t) {
                                  if (write_failure) {
                                      done(false);
                                      return;
                                  }
                                  async_read_answer_head(connection, *answer, max_header_bytes,
                                                         [answer, done](error_code read_failure) {
                                                             done(!read_failure);
                                                         });
                              });
        });
}

void asio_endpoint_client::pool::end_probe(const network_address& address, std::uint64_t generation,
                                           bool is_answered)
{
    this->entry_of(address).is_probing = false;
    if (is_answered) {
        this->retire_older_connections(address, generation);
    }
    this->remove_unused_entry(address);
}

void asio_endpoint_client::pool::retire_older_connections(const network_address& address,
                                                          std::uint64_t probed_generation)
{
    auto& entry = this->entry_of(address);
    if (entry.generation != probed_generation) {
        return;
    }
    entry.generation = ++this->last_generation;
    this->connections->close_idle_to(address);
    std::vector<std::shared_ptr<retirable_attempt>> active;
    for (const auto& weak : entry.attempts) {
        if (auto attempt = weak.lock(); attempt && attempt->is_active()) {
            active.push_back(std::move(attempt));
        }
    }
    // The observer of an attempt that fails may end others, and with the last one the entry.
    const auto generation = entry.generation;
    for (const auto& attempt : active) {
        attempt->retire(generation);
    }
}

} // namespace eelgrassbend
