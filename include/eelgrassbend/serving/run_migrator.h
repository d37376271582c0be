#ifndef EELGRASSBEND_SERVING_RUN_MIGRATOR_H
#define EELGRASSBEND_SERVING_RUN_MIGRATOR_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <functional>
#include <optional>
#include <string>

namespace eelgrassbend {

/// A run (the execution of a request at an engine) that was stopped for migration.
struct stopped_run {
    std::string kv_cache_source; ///< identifies its KV cache to the engine that resumes it
    bool is_copied = false;      ///< false: only the engine where it was stopped can resume it
};

/// Migrates runs with their KV cache between engines.
class run_migrator {
public:
    using handler = std::function<void(result<stopped_run>)>;
    /// Receives the time until the engine is reclaimed; empty if it stops when its work has ended.
    using leave_time_handler = std::function<void(result<std::optional<duration>>)>;

    virtual ~run_migrator() = default;
    /// Stops the run at `source` and copies its KV cache to `target`. Errors: `not_found` if there
    /// is no such run, `conflict` if it is already migrating, others if the run may have stopped.
    virtual void migrate(const network_address& source, const request_id& run,
                         const network_address& target, handler done) = 0;
    /// Requests the time until reclamation from a draining engine.
    virtual void request_leave_time(const network_address& engine, leave_time_handler done) = 0;
};

} // namespace eelgrassbend

#endif
