#include "eelgrassbend/peer_rpc/rpc_runtime.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <kj/async.h>

#include <optional>

namespace eelgrassbend {

namespace {

/// Runs Cap'n Proto's event loop from handlers that are posted to the io_context.
class asio_event_port final : public kj::EventPort {
public:
    explicit asio_event_port(boost::asio::io_context& context) : context(context) {}

    void set_loop(kj::EventLoop* owner) { *this->loop = owner; }

    bool wait() override
    {
        this->context.run_one();
        return false;
    }

    bool poll() override
    {
        this->context.poll();
        return false;
    }

    void setRunnable(bool runnable) override // NOLINT(readability-identifier-naming)
    {
        if (!runnable || std::exchange(this->is_scheduled, true)) {
            return;
        }
        boost::asio::post(this->context, [this, owner = this->loop] {
            if (*owner == nullptr) {
                return;
            }
            this->is_scheduled = false;
            (*owner)->run();
        });
    }

private:
    boost::asio::io_context& context;
    // Shared with the posted handlers, which may run after the loop is destroyed.
    std::shared_ptr<kj::EventLoop*> loop = std::make_shared<kj::EventLoop*>(nullptr);
    bool is_scheduled = false;
};

} // namespace

struct rpc_runtime::state {
    explicit state(boost::asio::io_context& context) : port(context), loop(port), scope(this->loop)
    {
        this->port.set_loop(&this->loop);
    }

    ~state() { this->port.set_loop(nullptr); }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    asio_event_port port;
    kj::EventLoop loop;
    kj::WaitScope scope;
};

rpc_runtime::rpc_runtime(boost::asio::io_context& context)
    : owned_state(std::make_unique<state>(context))
{
}

rpc_runtime::~rpc_runtime() = default;

} // namespace eelgrassbend
