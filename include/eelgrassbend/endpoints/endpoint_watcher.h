#ifndef EELGRASSBEND_ENDPOINTS_ENDPOINT_WATCHER_H
#define EELGRASSBEND_ENDPOINTS_ENDPOINT_WATCHER_H

#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

class router;

struct cache_events {
    std::uint64_t next_sequence = 0; ///< first sequence of the next request
    std::vector<cache_event> events;
};

/// Requests the load and the cache events of endpoints.
class endpoint_probe {
public:
    virtual ~endpoint_probe() = default;
    virtual void fetch_load(const network_address& endpoint,
                            std::function<void(result<load_report>)> handler) = 0;
    virtual void fetch_events(const network_address& endpoint, std::uint64_t from,
                              std::function<void(result<cache_events>)> handler) = 0;
};

struct watched_endpoint {
    endpoint_info info;
    bool caches_prefixes = false; ///< true for model engines; plain services have no cache events
};

/// Polls the endpoints that this node watches and reports their load and cache events to the
/// router.
class endpoint_watcher {
public:
    /// `list_watched` returns the endpoints to poll; called in every round.
    endpoint_watcher(scheduler& time, endpoint_probe& probe, router& routes,
                     std::function<std::vector<watched_endpoint>()> list_watched,
                     duration interval);

    void start();
    void stop();

private:
    void poll_round();
    void poll_endpoint(const watched_endpoint& endpoint);
    void poll_load(const endpoint_info& endpoint);
    void poll_events(const endpoint_info& endpoint);
    bool begin_call(const std::string& call);

    scheduler& time;
    endpoint_probe& probe;
    router& routes;
    std::function<std::vector<watched_endpoint>()> list_watched;
    duration interval;
    std::map<std::string, std::uint64_t> next_sequences;
    std::set<std::string> outstanding; ///< calls that have not been answered
    bool is_running = false;
};

} // namespace eelgrassbend

#endif
