#ifndef EELGRASSBEND_PEER_RPC_RPC_RUNTIME_H
#define EELGRASSBEND_PEER_RPC_RPC_RUNTIME_H

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// Cap'n Proto's event loop on top of an io_context. One for each thread; it must outlive all
/// that uses it, and the io_context must be run by the thread that made it.
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
