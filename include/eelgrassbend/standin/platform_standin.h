#ifndef EELGRASSBEND_STANDIN_PLATFORM_STANDIN_H
#define EELGRASSBEND_STANDIN_PLATFORM_STANDIN_H

#include "eelgrassbend/standin/event_loop.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace eelgrassbend::standin {

struct platform_standin_settings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free one
    double appends_per_second = 300.0;
    duration retention_time = std::chrono::hours{24};
    std::size_t retention_records = 200'000; ///< a stream
    duration hosts_lag{};                    ///< of the host list
    duration host_start{};                   ///< from the order of a host to its start
    std::int64_t weight_bytes = 16'000'000'000;
    double weight_fetches_per_second = 2.0;
    std::uint64_t seed = 1;
    /// JSON: {"hosts": [...], "spares": [...]}, both of entries as in `POST /admin/hosts`; spares
    /// are what the cloud has to give. Empty: no hosts.
    std::string hosts_json;
};

/// Takes the place of the platform and speaks docs/design/platform-protocol.md.
class platform_standin {
public:
    /// Begins to listen. Throws std::exception.
    platform_standin(const platform_standin_settings& settings, event_loop& loop);
    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace eelgrassbend::standin

#endif
