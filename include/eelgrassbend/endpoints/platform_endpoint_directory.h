#ifndef EELGRASSBEND_ENDPOINTS_PLATFORM_ENDPOINT_DIRECTORY_H
#define EELGRASSBEND_ENDPOINTS_PLATFORM_ENDPOINT_DIRECTORY_H

#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/platform/cloud_api.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace eelgrassbend {

class dissemination;
class event_log;

struct endpoint_directory_settings {
    /// Polls of the host list by all entry nodes together, for each second.
    double host_polls_per_second = 6.0;
    /// Polls for notices by all entry nodes together, for each second.
    double notice_polls_per_second = 20.0;
    duration shortest_poll = std::chrono::milliseconds{200};
    duration longest_poll = std::chrono::seconds{60};
    int missing_polls_until_gone = 2; ///< the host list lags
};

/// Merges the host list, the cloud's notices and what other entry nodes tell of notices. A host
/// that was leaving once never becomes live again under its name, whatever a lagging list says.
class platform_endpoint_directory : public endpoint_directory {
public:
    /// `node_count` tells how many entry nodes share the polling.
    platform_endpoint_directory(scheduler& time, random_source& random, host_list& hosts,
                                cloud_api& cloud, dissemination& spread, event_log& log,
                                std::function<std::size_t()> node_count,
                                endpoint_directory_settings settings);

    void start();
    void stop();

    [[nodiscard]] std::vector<endpoint_info> endpoints(const service_id& service) const override;
    [[nodiscard]] std::optional<endpoint_info> find(const endpoint_id& id) const override;
    void on_change(std::function<void(const endpoint_info&)> observer) override;

    /// All endpoints that are not gone.
    [[nodiscard]] std::vector<endpoint_info> all() const;

    /// Whether the host list has been read at least once.
    [[nodiscard]] bool loaded() const { return this->first_list_seen; }

private:
    struct known_endpoint {
        endpoint_info info;
        int missing_polls = 0;
    };

    void poll_hosts();
    void poll_notices();
    void merge(const std::vector<host_entry>& hosts);
    void merge_host(const host_entry& host);
    void drop_missing(const std::set<std::string>& listed);
    void take_notices(const std::vector<reclaim_notice>& notices);
    void apply_notice(const reclaim_notice& notice);
    void drop_taken();
    void changed(const endpoint_info& info, const char* cause);
    [[nodiscard]] duration poll_interval(double polls_per_second) const;
    void repeat(duration pause, void (platform_endpoint_directory::*poll)());

    scheduler& time;
    random_source& random;
    host_list& hosts;
    cloud_api& cloud;
    dissemination& spread;
    event_log& log;
    std::function<std::size_t()> node_count;
    endpoint_directory_settings settings;
    std::map<std::string, known_endpoint> known;
    std::map<std::string, reclaim_notice> notices; ///< of hosts that have not been taken
    std::vector<std::function<void(const endpoint_info&)>> observers;
    std::uint64_t next_notice = 0;
    bool first_list_seen = false;
    bool running = false;
};

} // namespace eelgrassbend

#endif
