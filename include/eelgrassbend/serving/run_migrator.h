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

/// A run that was stopped at its engine.
struct stopped_run {
    std::string kv_cache_source; ///< names its KV cache to the engine that goes on
    bool is_copied = false;      ///< false: only the engine where it was stopped can go on
};

/// Moves runs with their KV cache between engines.
class run_migrator {
public:
    using handler = std::function<void(result<stopped_run>)>;
    /// Time until the engine is taken; nothing if it leaves when its work has ended.
    using leave_time_handler = std::function<void(result<std::optional<duration>>)>;

    virtual ~run_migrator() = default;
    /// Stops the run at `source` and copies its memory to `target`. Errors: `not_found` if there
    /// is no such run, `conflict` if it is being moved, others if it may have stopped.
    virtual void migrate(const network_address& source, const request_id& run,
                         const network_address& target, handler done) = 0;
    /// Asks an engine that drains when it will be taken.
    virtual void request_leave_time(const network_address& engine, leave_time_handler done) = 0;
};

} // namespace eelgrassbend

#endif
