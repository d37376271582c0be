#ifndef EELGRASSBEND_LIB_STANDIN_CLOUD_ACCOUNT_H
#define EELGRASSBEND_LIB_STANDIN_CLOUD_ACCOUNT_H

#include "eelgrassbend/support/units.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend::standin {

/// One host as the platform lists it.
struct listed_host {
    std::string name;
    std::string role;
    std::string state = "live";
    std::string region;
    std::string zone;
    std::string type;
    bool reclaimable = true;
    std::string ip;
    std::uint16_t port = 0;
    std::string service;
    std::string client_token; ///< of the order; empty for hosts that were there before
};

/// Throws if a field is missing or of a wrong type.
listed_host parse_host(const nlohmann::json& body);
nlohmann::json describe(const listed_host& host);

struct cloud_order {
    std::string client_token;
    std::string service;
    std::string zone;
    std::string type;
    bool reclaimable = true;
};

struct cloud_notice {
    std::uint64_t sequence = 0;
    std::string host;
    wall_time taken_at;
};

/// The hosts of an account and what the cloud still has to give.
class cloud_account {
public:
    explicit cloud_account(monotonic_time now);

    /// Adds a host that has started, or replaces it.
    void add(const listed_host& host, monotonic_time now);

    void add_spare(const listed_host& host) { this->spares.push_back(host); }

    /// Takes a matching spare, or the host of the same token again; empty if there is none. The
    /// host is not in the host list before `start`.
    std::optional<std::string> order(const cloud_order& wanted);
    void start(const std::string& name, monotonic_time now);
    /// Ordered hosts become spares again. False if there is no such host.
    bool release(const std::string& name, monotonic_time now);

    /// The platform takes the host if its reclaim has been announced.
    void take(const std::string& name, monotonic_time now);
    /// False if there is no such host.
    bool announce_reclaim(const std::string& name, wall_time taken_at, monotonic_time now);
    [[nodiscard]] std::vector<cloud_notice> notices(std::uint64_t from) const;

    /// The host list as it was at `time`.
    [[nodiscard]] std::vector<listed_host> listed_at(monotonic_time time) const;
    /// All hosts that are held, started or not.
    [[nodiscard]] std::vector<listed_host> held() const;

private:
    struct held_host {
        listed_host host;
        bool started = false;
    };

    struct snapshot {
        monotonic_time since;
        std::vector<listed_host> hosts;
    };

    void note_change(monotonic_time now);

    std::map<std::string, held_host> hosts;
    std::vector<listed_host> spares;
    std::vector<cloud_notice> all_notices;
    std::deque<snapshot> history;
};

} // namespace eelgrassbend::standin

#endif
