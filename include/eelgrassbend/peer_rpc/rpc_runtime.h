#ifndef EELGRASSBEND_PEER_RPC_RPC_RUNTIME_H
#define EELGRASSBEND_PEER_RPC_RPC_RUNTIME_H

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// Runs Cap'n Proto's event loop on an io_context. There is at most one for each thread; it must
/// outlive its users, and the thread that constructs it must run the io_context.
class rpc_runtime {
public:
    explicit rpc_runtime(boost::asio::io_context& context);
    ~rpc_runtime();
    rpc_runtime(const rpc_runtime&) = delete;
    rpc_runtime& operator=(const rpc_runtime&) = delete;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace eelgrassbend

#endif
