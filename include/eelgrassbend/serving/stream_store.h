#ifndef EELGRASSBEND_SERVING_STREAM_STORE_H
#define EELGRASSBEND_SERVING_STREAM_STORE_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/serving/stream_state.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

class membership;
class peer_rpc;

struct stream_store_settings {
    duration retention_time = std::chrono::seconds{60}; ///< for a caller to come back
    std::size_t max_bytes = 16 * 1024 * 1024;           ///< the oldest states are dropped first
    std::size_t copies = 2; ///< peers that get a state at a planned stop
    duration call_timeout = std::chrono::seconds{1};
};

/// Keeps the states of streams whose callers may come back, here or at another entry node. A
/// state is taken once: whoever gets it goes on with the stream.
class stream_store {
public:
    using fetch_handler = std::function<void(result<stream_state>)>;
    /// Gives up a stream that is still being served here; see `on_running`.
    using running_stream_handler = std::function<stream_fetch_answer(const request_id&)>;

    stream_store(scheduler& time, peer_rpc& peers, const membership& members,
                 stream_store_settings settings);

    void start();
    /// Asked before the store, for streams that are still being served.
    void set_running_stream_handler(running_stream_handler handler);

    void insert(stream_state state);
    /// Sends the state to peers as well, for a node that is about to stop.
    void hand_over(const stream_state& state);
    /// Finds and takes a state: here, at the node that made the request, or at the peers that it
    /// hands its streams to. Errors: `not_found`; `conflict` if its last bytes are on their way.
    void fetch(const request_id& request, fetch_handler handler);

    [[nodiscard]] std::size_t size() const { return this->states.size(); }

private:
    struct stored_state {
        stream_state state;
        monotonic_time expires_at;
    };

    [[nodiscard]] stream_fetch_answer take(const request_id& request);
    [[nodiscard]] std::vector<network_address> candidate_holders(const request_id& request) const;
    void fetch_from_peers(const request_id& request, std::vector<network_address> remaining,
                          fetch_handler handler);
    void evict_old();

    scheduler& time;
    peer_rpc& peers;
    const membership& members;
    stream_store_settings settings;
    running_stream_handler release_running_stream;
    std::unordered_map<std::string, stored_state> states;
    std::deque<std::string> order;
    std::size_t bytes = 0;
};

} // namespace eelgrassbend

#endif
