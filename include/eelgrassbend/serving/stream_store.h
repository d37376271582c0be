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
    duration retention_time = std::chrono::seconds{60}; ///< within which a caller can reconnect
    std::size_t max_bytes = 16 * 1024 * 1024;           ///< the oldest states are evicted first
    std::size_t copies = 2; ///< peers that receive a state at a planned stop
    duration call_timeout = std::chrono::seconds{1};
};

/// Stores the states of streams whose callers may reconnect, to this or another entry node. Each
/// state is fetched at most once: the node that receives it resumes the stream.
class stream_store {
public:
    using fetch_handler = std::function<void(result<stream_state>)>;
    /// Releases a stream that is still served here; see `set_running_stream_handler`.
    using running_stream_handler = std::function<stream_fetch_answer(const request_id&)>;

    stream_store(scheduler& time, peer_rpc& peers, const membership& members,
                 stream_store_settings settings);

    void start();
    /// The handler is called before the stored states are searched, for streams that are still
    /// served.
    void set_running_stream_handler(running_stream_handler handler);

    void insert(stream_state state);
    /// Sends the state to peers; for a node that is about to stop.
    void hand_over(const stream_state& state);
    /// Finds and removes a state: in this store, at the node that generated the request id, or at
    /// the peers to which that node hands its streams. Errors: `not_found`; `conflict` if the end
    /// of the answer is being delivered.
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
