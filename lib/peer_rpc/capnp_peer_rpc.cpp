#include "eelgrassbend/peer_rpc/capnp_peer_rpc.h"

#include "eelgrassbend/codec/capnp_bytes.h"
#include "eelgrassbend/peer_rpc/rpc_runtime.h"
#include "eelgrassbend/peers/peer_message.h"
#include "eelgrassbend/support/hash.h"

#include "asio_stream.h"
#include "served_peers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>

#include "peer.capnp.h"

#include <map>
#include <vector>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

static constexpr std::size_t max_frame_bytes = 4 * 1024 * 1024;
/// A frame, and the reading of it once more.
static constexpr std::size_t max_rpc_message_bytes = 2 * max_frame_bytes;
/// Two for each node of a large fleet: a peer that lost its connection opens another.
static constexpr std::size_t max_served_peers = 1024;
/// After an accept that failed.
static constexpr std::chrono::milliseconds accept_retry_interval{50};

namespace {

/// A connection to a peer; calls are queued until it is open.
struct peer_connection {
    bool is_open = false;
    std::vector<std::function<void()>> pending_actions;
    kj::Own<asio_stream> stream;
    kj::Own<capnp::TwoPartyClient> client;
};

/// A call that has not been answered.
struct pending_call {
    network_address peer;
    peer_rpc::answer_handler handler;
    timer_id expiry;
    std::string frame;
    bool is_sent = false;
};

} // namespace

class capnp_peer_rpc::implementation final
    : public std::enable_shared_from_this<capnp_peer_rpc::implementation>,
      public kj::TaskSet::ErrorHandler {
public:
    implementation(asio::io_context& context, scheduler& time, frame_authenticator& authenticator)
        : context(context),
          time(time),
          authenticator(authenticator),
          acceptor(context),
          tasks(*this)
    {
    }

    result<network_address> listen(const network_address& address);
    void stop();
    void call(const network_address& peer, peer_method method, const std::string& request,
              duration timeout, answer_handler handler);
    /// Handles the frame of a call and returns the frame of its answer; empty if the call is
    /// rejected.
    kj::Promise<std::string> handle_call(const std::string& frame);

    std::map<peer_method, method_handler> handlers;

private:
    using call_ptr = std::shared_ptr<pending_call>;

    void accept_next();
    void with_connection(const network_address& peer, std::function<void()> action);
    void on_connected(const network_address& peer,
                      const std::shared_ptr<peer_connection>& connection, tcp::socket socket,
                      error_code failure);
    void watch_for_disconnect(const network_address& peer,
                              const std::shared_ptr<peer_connection>& connection);
    void send(const call_ptr& pending);
    void send_on_connection(const call_ptr& pending);
    void on_answer(const call_ptr& pending, const std::string& frame);
    void finish(const call_ptr& pending, result<std::string> answer);
    void retire_connection(const network_address& peer);

    void taskFailed(kj::Exception&&) override {} // NOLINT(readability-identifier-naming)

    asio::io_context& context;
    scheduler& time;
    frame_authenticator& authenticator;
    tcp::acceptor acceptor;
    std::string own_address;
    std::map<network_address, std::shared_ptr<peer_connection>> connections;
    std::unique_ptr<served_peers> server;
    kj::TaskSet tasks;
};

namespace {

/// The RPC interface that peers call.
class call_server final : public wire::PeerCalls::Server {
public:
    explicit call_server(std::weak_ptr<capnp_peer_rpc::implementation> owner)
        : owner(std::move(owner))
    {
    }

    kj::Promise<void> call(CallContext context) override
    {
        const auto target = this->owner.lock();
        if (!target) {
            return KJ_EXCEPTION(DISCONNECTED, "the node has stopped");
        }
        return target->handle_call(to_string(context.getParams().getFrame()))
            .then([context](const std::string& frame) mutable {
                context.getResults().setFrame(as_data(frame));
            });
    }

private:
    std::weak_ptr<capnp_peer_rpc::implementation> owner;
};

} // namespace

result<network_address> capnp_peer_rpc::implementation::listen(const network_address& address)
{
    error_code failure;
    const auto ip = asio::ip::make_address(address.ip, failure);
    if (failure) {
        return make_error(errc::invalid_argument, "listen for peers", address.to_string());
    }
    const tcp::endpoint endpoint{ip, address.port};
    this->acceptor.open(endpoint.protocol(), failure);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (this->acceptor.bind(endpoint, failure) || this->acceptor.listen(64, failure)) {
        return error{failure, "listen for peers", address.to_string(), {}};
    }
    const network_address bound{address.ip, this->acceptor.local_endpoint().port()};
    this->own_address = bound.to_string();
    this->server = std::make_unique<served_peers>(kj::heap<call_server>(this->weak_from_this()),
                                                  max_served_peers, max_rpc_message_bytes);
    this->accept_next();
    return bound;
}

void capnp_peer_rpc::implementation::accept_next()
{
    std::weak_ptr<implementation> weak = this->shared_from_this();
    this->acceptor.async_accept([weak](error_code failure, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor.is_open()) {
            return;
        }
        if (failure) {
            // Without a free descriptor each accept fails at once.
            self->time.call_after(accept_retry_interval, [weak] {
                const auto target = weak.lock();
                if (target && target->acceptor.is_open()) {
                    target->accept_next();
                }
            });
            return;
        }
        // TCP keep-alive lets the kernel detect a peer that disappeared without closing the
        // connection.
        error_code ignored;
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        self->server->accept(kj::heap<asio_stream>(std::move(socket)));
        self->accept_next();
    });
}

void capnp_peer_rpc::implementation::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
    this->connections.clear();
    this->server.reset();
    this->handlers.clear();
}

// The answer is sealed with the digest of the call's frame as its recipient, so it is accepted for
// this call only.
kj::Promise<std::string> capnp_peer_rpc::implementation::handle_call(const std::string& frame)
{
    const auto digest = sha256_hex(frame);
    const auto seal = [this, digest](const result<std::string>& body) -> std::string {
        auto sealed = this->authenticator.seal(digest, encode_answer(body));
        return sealed ? std::move(sealed.value()) : std::string{};
    };
    if (frame.size() > max_frame_bytes) {
        return std::string{};
    }
    auto opened = this->authenticator.open(this->own_address, frame);
    if (!opened) {
        // An unauthenticated peer receives no details.
        return std::string{};
    }
    auto call = decode_call(opened.value().bytes);
    if (!call) {
        return seal(call.error());
    }
    const auto found = this->handlers.find(static_cast<peer_method>(call.value().method));
    if (found == this->handlers.end()) {
        return seal(make_error(errc::not_found, "serve peer call", this->own_address));
    }
    auto pair = kj::newPromiseAndFulfiller<std::string>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<std::string>>>(kj::mv(pair.fulfiller));
    std::weak_ptr<implementation> weak = this->shared_from_this();
    found->second(call.value().body, [weak, fulfiller, seal](result<std::string> body) {
        if (!weak.expired()) {
            (*fulfiller)->fulfill(seal(body));
        }
    });
    return kj::mv(pair.promise);
}

void capnp_peer_rpc::implementation::call(const network_address& peer, peer_method method,
                                          const std::string& request, duration timeout,
                                          answer_handler handler)
{
    const auto pending = std::make_shared<pending_call>();
    pending->peer = peer;
    pending->handler = std::move(handler);
    auto sealed = this->authenticator.seal(
        peer.to_string(), encode_call({static_cast<std::uint16_t>(method), request}));
    std::weak_ptr<implementation> weak = this->shared_from_this();
    if (!sealed) {
        asio::post(this->context, [weak, pending, reason = sealed.error()] {
            if (const auto self = weak.lock()) {
                self->finish(pending, reason);
            }
        });
        return;
    }
    pending->frame = std::move(sealed.value());
    pending->expiry = this->time.call_after(timeout, [weak, pending] {
        const auto self = weak.lock();
        if (!self || !pending->handler) {
            return;
        }
        self->retire_connection(pending->peer);
        self->finish(pending, make_error(pending->is_sent ? errc::timed_out : errc::unavailable,
                                         "call peer", pending->peer.to_string()));
    });
    this->with_connection(peer, [weak, pending] {
        if (const auto self = weak.lock()) {
            self->send(pending);
        }
    });
}

void capnp_peer_rpc::implementation::with_connection(const network_address& peer,
                                                     std::function<void()> action)
{
    auto& connection = this->connections[peer];
    if (connection) {
        if (connection->is_open) {
            action();
            return;
        }
        connection->pending_actions.push_back(std::move(action));
        return;
    }
    connection = std::make_shared<peer_connection>();
    connection->pending_actions.push_back(std::move(action));
    error_code failure;
    const auto ip = asio::ip::make_address(peer.ip, failure);
    auto socket = std::make_shared<tcp::socket>(this->context);
    std::weak_ptr<implementation> weak = this->shared_from_this();
    socket->async_connect(
        {ip, peer.port}, [weak, peer, connection, socket](error_code connect_failure) {
            if (const auto self = weak.lock()) {
                self->on_connected(peer, connection, std::move(*socket), connect_failure);
            }
        });
}

void capnp_peer_rpc::implementation::on_connected(
    const network_address& peer, const std::shared_ptr<peer_connection>& connection,
    tcp::socket socket, error_code failure)
{
    const auto current = this->connections.find(peer);
    const bool is_retired = current == this->connections.end() || current->second != connection;
    const auto pending_actions = std::exchange(connection->pending_actions, {});
    if (failure && !is_retired) {
        this->connections.erase(current);
    }
    if (!failure && !is_retired) {
        // Otherwise a connection to a peer that disappeared stays open until the next call to it.
        error_code ignored;
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        connection->stream = kj::heap<asio_stream>(std::move(socket));
        connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
        connection->is_open = true;
        this->watch_for_disconnect(peer, connection);
    }
    for (const auto& action : pending_actions) {
        action();
    }
}

// A client throws when it is used after its connection ended, so the connection is retired at once.
void capnp_peer_rpc::implementation::watch_for_disconnect(
    const network_address& peer, const std::shared_ptr<peer_connection>& connection)
{
    std::weak_ptr<implementation> weak = this->shared_from_this();
    std::weak_ptr<peer_connection> watched_connection = connection;
    this->tasks.add(connection->client->onDisconnect().then([weak, watched_connection, peer] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto found = self->connections.find(peer);
        if (found != self->connections.end() && found->second == watched_connection.lock()) {
            self->retire_connection(peer);
        }
    }));
}

void capnp_peer_rpc::implementation::send(const call_ptr& pending)
{
    if (!pending->handler) {
        return;
    }
    const auto failure = kj::runCatchingExceptions([&] { this->send_on_connection(pending); });
    KJ_IF_MAYBE (reason, failure) {
        // The connection has ended but the disconnect is not yet handled; nothing was sent on it.
        this->retire_connection(pending->peer);
        this->finish(pending, make_error(errc::unavailable, "call peer", pending->peer.to_string(),
                                         reason->getDescription().cStr()));
    }
}

void capnp_peer_rpc::implementation::send_on_connection(const call_ptr& pending)
{
    const auto found = this->connections.find(pending->peer);
    if (found == this->connections.end() || !found->second->is_open) {
        this->finish(pending, make_error(errc::unavailable, "call peer", pending->peer.to_string(),
                                         "cannot connect"));
        return;
    }
    const auto connection = found->second;
    auto request = connection->client->bootstrap().castAs<wire::PeerCalls>().callRequest();
    request.setFrame(as_data(pending->frame));
    pending->is_sent = true;
    std::weak_ptr<implementation> weak = this->shared_from_this();
    auto sent = request.send().then(
        [weak, pending](const capnp::Response<wire::PeerCalls::CallResults>& response) {
            if (const auto self = weak.lock()) {
                self->on_answer(pending, to_string(response.getFrame()));
            }
        },
        [weak, pending, connection](const kj::Exception& failure) {
            const auto self = weak.lock();
            if (!self || !pending->handler) {
                return;
            }
            self->retire_connection(pending->peer);
            self->finish(pending,
                         make_error(errc::outcome_unknown, "call peer", pending->peer.to_string(),
                                    failure.getDescription().cStr()));
        });
    this->tasks.add(kj::mv(sent));
}

void capnp_peer_rpc::implementation::on_answer(const call_ptr& pending, const std::string& frame)
{
    const auto fail = [&](error reason) {
        reason.step = "call peer";
        reason.peer = pending->peer.to_string();
        this->finish(pending, std::move(reason));
    };
    auto opened = this->authenticator.open(sha256_hex(pending->frame), frame);
    if (!opened) {
        fail(opened.error());
        return;
    }
    auto answer = decode_answer(opened.value().bytes);
    if (!answer) {
        fail(answer.error());
        return;
    }
    if (answer.value().failure.code) {
        this->finish(pending, std::move(answer.value().failure));
        return;
    }
    this->finish(pending, std::move(answer.value().body));
}

void capnp_peer_rpc::implementation::finish(const call_ptr& pending, result<std::string> answer)
{
    if (auto handler = std::exchange(pending->handler, nullptr)) {
        this->time.cancel(pending->expiry);
        handler(std::move(answer));
    }
}

// This may run inside a callback of the connection, so the connection is destroyed later.
void capnp_peer_rpc::implementation::retire_connection(const network_address& peer)
{
    auto found = this->connections.extract(peer);
    if (!found.empty()) {
        asio::post(this->context, [connection = std::move(found.mapped())]() mutable {
            // The destructor of the client sends messages, which throws if the connection has
            // ended.
            kj::runCatchingExceptions([&] { connection.reset(); });
        });
    }
}

capnp_peer_rpc::capnp_peer_rpc(asio::io_context& context, rpc_runtime&, scheduler& time,
                               frame_authenticator& authenticator)
    : shared(std::make_shared<implementation>(context, time, authenticator))
{
}

capnp_peer_rpc::~capnp_peer_rpc()
{
    this->shared->stop();
}

result<network_address> capnp_peer_rpc::listen(const network_address& address)
{
    return this->shared->listen(address);
}

void capnp_peer_rpc::stop()
{
    this->shared->stop();
}

void capnp_peer_rpc::call(const network_address& peer, peer_method method, std::string request,
                          duration timeout, answer_handler handler)
{
    this->shared->call(peer, method, request, timeout, std::move(handler));
}

void capnp_peer_rpc::serve(peer_method method, method_handler handler)
{
    this->shared->handlers[method] = std::move(handler);
}

} // namespace eelgrassbend
