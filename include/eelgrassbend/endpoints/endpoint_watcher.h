#ifndef EELGRASSBEND_ENDPOINTS_ENDPOINT_WATCHER_H
#define EELGRASSBEND_ENDPOINTS_ENDPOINT_WATCHER_H

#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbend {

class router;

struct cache_events {
    std::uint64_t next = 0; ///< the sequence to ask for next
    std::vector<cache_event> events;
};

/// Asks endpoints for their load and the changes of their caches.
class endpoint_probe {
public:
    virtual ~endpoint_probe() = default;
    virtual void load(const network_address& endpoint,
                      std::function<void(result<load_report>)> handler) = 0;
    virtual void events(const network_address& endpoint, std::uint64_t from,
                        std::function<void(result<cache_events>)> handler) = 0;
};

/// Polls the endpoints that this node watches and tells the router what they report.
class endpoint_watcher {
public:
    /// `watched` lists the endpoints to poll; it is asked in every round.
    endpoint_watcher(scheduler& time, endpoint_probe& probe, router& routes,
                     std::function<std::vector<endpoint_info>()> watched, duration interval);

    void start();
    void stop();

private:
    void poll_round();
    void poll(const endpoint_info& endpoint);

    scheduler& time;
    endpoint_probe& probe;
    router& routes;
    std::function<std::vector<endpoint_info>()> watched;
    duration interval;
    std::map<std::string, std::uint64_t> next_event;
    std::map<std::string, int> outstanding;
    bool running = false;
};

} // namespace eelgrassbend

#endif
