#ifndef EELGRASSBEND_STREAMS_STREAM_ORIGINS_H
#define EELGRASSBEND_STREAMS_STREAM_ORIGINS_H

#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <functional>
#include <optional>

namespace eelgrassbend {

/// The software version at which each stream began: only endpoints of that version may continue it.
/// Survives the end of all nodes.
class stream_origins {
public:
    using recorded_handler = std::function<void()>;
    using found_handler = std::function<void(result<software_version>)>;

    virtual ~stream_origins() = default;
    /// Notes that a run of a stream begins at `version`; a later call for the same stream replaces
    /// it. Calls `done` once all nodes can find the version, or when it is not worth waiting for
    /// any longer; possibly before it returns. An event may be sent to the caller after that.
    virtual void record(const service_id& service, const request_id& stream,
                        const software_version& version, recorded_handler done) = 0;
    /// Finds the version at which a stream began; possibly calls `done` before it returns. Errors:
    /// `unavailable` if it cannot be known now.
    virtual void find(const service_id& service, const request_id& stream, found_handler done) = 0;
    /// The version at which streams should begin now, as others cannot be recorded; nothing if any
    /// may be chosen.
    [[nodiscard]] virtual std::optional<software_version>
    preferred_version(const service_id& service) const = 0;
};

} // namespace eelgrassbend

#endif
