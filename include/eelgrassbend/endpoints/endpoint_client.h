#ifndef EELGRASSBEND_ENDPOINTS_ENDPOINT_CLIENT_H
#define EELGRASSBEND_ENDPOINTS_ENDPOINT_CLIENT_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassbend {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// What goes to an endpoint as one attempt.
struct endpoint_request {
    attempt_id attempt;
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    duration progress_timeout{}; ///< longest silence before the attempt fails
    bool needs_new_connection =
        false; ///< never a pooled one, so that a failure to connect is `not_sent`
};

/// Whether an endpoint can have begun an attempt that failed.
enum class dispatch_state { not_sent, maybe_sent };

/// Hears what becomes of an attempt. After `completed` or `failed` nothing more is called.
class attempt_observer {
public:
    virtual ~attempt_observer() = default;
    virtual void on_head(int status, const header_list& headers) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /// The answer is whole.
    virtual void on_completed() = 0;
    virtual void on_failed(const error& reason, dispatch_state dispatched) = 0;
};

/// An attempt under way. Destroying it cancels it; the observer hears nothing more.
class attempt_handle {
public:
    virtual ~attempt_handle() = default;
};

/// Sends attempts to endpoints over pooled connections.
class endpoint_client {
public:
    virtual ~endpoint_client() = default;
    /// `observer` must outlive the handle. Never calls it from within `dispatch`.
    virtual std::unique_ptr<attempt_handle> dispatch(const network_address& endpoint,
                                                     endpoint_request request,
                                                     attempt_observer& observer) = 0;
};

} // namespace eelgrassbend

#endif
