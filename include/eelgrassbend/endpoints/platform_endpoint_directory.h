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
    /// Polls of the host list per second, by all entry nodes together.
    double host_polls_per_second = 6.0;
    /// Polls for notices per second, by all entry nodes together.
    double notice_polls_per_second = 20.0;
    duration min_poll_interval = std::chrono::milliseconds{200};
    duration max_poll_interval = std::chrono::seconds{60};
    /// Consecutive host lists without a host after which it is gone; a single list may be outdated.
    int missing_polls_until_gone = 2;
};

/// Merges the host list, the cloud's notices and notices published by other entry nodes. A host
/// that was leaving never becomes live again under its name, even if a delayed list says so.
class platform_endpoint_directory : public endpoint_directory {
public:
    /// `node_count` returns the number of entry nodes that share the polling.
    platform_endpoint_directory(scheduler& time, random_source& random, host_list& hosts,
                                cloud_api& cloud, dissemination& gossip, event_log& log,
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
    [[nodiscard]] bool has_host_list() const { return this->has_host_list_data; }

private:
    struct endpoint_entry {
        endpoint_info info;
        int missing_polls = 0;
    };

    void poll_hosts();
    void poll_notices();
    void merge_hosts(const std::vector<host_entry>& hosts);
    void merge_host(const host_entry& host);
    void remove_missing(const std::set<std::string>& listed);
    void apply_new_notices(const std::vector<reclaim_notice>& notices);
    void apply_notice(const reclaim_notice& notice);
    void remove_reclaimed();
    void report_change(const endpoint_info& info, const char* cause);
    [[nodiscard]] duration poll_interval(double polls_per_second) const;
    void schedule_poll(duration pause, void (platform_endpoint_directory::*poll)());

    scheduler& time;
    random_source& random;
    host_list& hosts;
    cloud_api& cloud;
    dissemination& gossip;
    event_log& log;
    std::function<std::size_t()> node_count;
    endpoint_directory_settings settings;
    std::map<std::string, endpoint_entry> entries;
    std::map<std::string, reclaim_notice> notices; ///< by host; see `notice_retention`
    std::vector<std::function<void(const endpoint_info&)>> observers;
    std::uint64_t next_notice = 0;
    bool has_host_list_data = false;
    bool is_running = false;
};

} // namespace eelgrassbend

#endif
