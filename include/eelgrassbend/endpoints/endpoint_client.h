#ifndef EELGRASSBEND_ENDPOINTS_ENDPOINT_CLIENT_H
#define EELGRASSBEND_ENDPOINTS_ENDPOINT_CLIENT_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/shared_bytes.h"
#include "eelgrassbend/support/units.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassbend {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request that is sent to an endpoint as one attempt.
struct endpoint_request {
    attempt_id attempt; ///< empty: a call without an id, which needs a new connection
    std::string method;
    std::string target;
    header_list headers;
    shared_bytes body;
    duration progress_timeout{}; ///< longest time without data before the attempt fails
    bool needs_new_connection =
        false; ///< no pooled one, so that a failure to connect is `not_sent`
    bool falls_back_to_pooled = false; ///< if a new connection is needed but refused
};

/// Whether an endpoint may have begun a failed attempt.
enum class dispatch_state { not_sent, maybe_sent };

/// Receives the events of an attempt. Nothing is called after `on_completed` or `on_failed`.
class attempt_observer {
public:
    virtual ~attempt_observer() = default;

    /// The request has been written completely; the client does not hold its body any more.
    virtual void on_sent() {}

    virtual void on_head(int status, const header_list& headers) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer is complete.
    virtual void on_completed() = 0;
    virtual void on_failed(const error& reason, dispatch_state dispatched) = 0;
};

/// An attempt in flight. Destroying the handle cancels it; the observer is not called any more.
class attempt_handle {
public:
    virtual ~attempt_handle() = default;
};

/// Sends attempts to endpoints over pooled connections.
class endpoint_client {
public:
    virtual ~endpoint_client() = default;
    /// `observer` must outlive the handle; it is never called from within `dispatch`.
    virtual std::unique_ptr<attempt_handle> dispatch(const network_address& endpoint,
                                                     endpoint_request request,
                                                     attempt_observer& observer) = 0;

    /// Whether an unexpired idle connection to `endpoint` is pooled. The peer may have closed it
    /// since.
    [[nodiscard]] virtual bool has_idle(const network_address& endpoint) const;
    /// Closes the idle connections to `endpoint`, which has left. Attempts in flight continue, and
    /// their connections are not pooled afterwards.
    virtual void forget(const network_address& endpoint);
};

// Implementations without a pool have nothing to report or to close.
inline bool endpoint_client::has_idle(const network_address&) const
{
    return false;
}

inline void endpoint_client::forget(const network_address&) {}

} // namespace eelgrassbend

#endif
