#ifndef EELGRASSBEND_STANDIN_ENGINE_STANDIN_H
#define EELGRASSBEND_STANDIN_ENGINE_STANDIN_H

#include "eelgrassbend/engine_model/engine_settings.h"
#include "eelgrassbend/standin/event_loop.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <memory>
#include <string>

namespace eelgrassbend::standin {

enum class endpoint_mode { model, plain };

struct engine_standin_settings {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free one
    std::string name = "endpoint";
    std::string service = "service";
    std::string zone = "zone";
    endpoint_mode mode = endpoint_mode::model;
    engine_settings engine; ///< plain services use slots, queue_limit and load_report_lag
    duration service_time = std::chrono::milliseconds{5}; ///< plain services: time of one call
    std::uint64_t seed = 1;
    std::string executions_file; ///< gets each execution when it ends; empty: none
};

/// Takes the place of a model engine or a plain service and speaks
/// docs/design/endpoint-protocol.md.
class engine_standin {
public:
    /// Begins to listen. Throws std::system_error.
    engine_standin(const engine_standin_settings& settings, event_loop& loop);
    ~engine_standin();
    engine_standin(const engine_standin&) = delete;
    engine_standin& operator=(const engine_standin&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace eelgrassbend::standin

#endif
