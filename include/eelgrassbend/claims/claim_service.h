#ifndef EELGRASSBEND_CLAIMS_CLAIM_SERVICE_H
#define EELGRASSBEND_CLAIMS_CLAIM_SERVICE_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <functional>
#include <string>

namespace eelgrassbend {

/// The answer of a finished non-idempotent request, kept for a caller that asks again.
struct recorded_outcome {
    int status = 0; ///< HTTP status
    std::string content_type;
    std::string body;   ///< empty if too long to keep
    std::string digest; ///< SHA-256 of the whole body
};

enum class claim_state {
    granted,  ///< this request may dispatch, once
    finished, ///< it ran; the outcome is known
    running,  ///< another request holds the key and may still be running it
    unknown,  ///< its holder is gone and left no outcome; it may have run
    refused,  ///< nothing was dispatched by this request; see the error
};

struct claim_answer {
    claim_state state = claim_state::refused;
    recorded_outcome outcome; ///< with `finished`
    error reason;             ///< with `refused`
};

/// Lets at most one request dispatch under an idempotency key, on all nodes together.
class claim_service {
public:
    using claim_handler = std::function<void(claim_answer)>;
    using done_handler = std::function<void(result<void>)>;

    virtual ~claim_service() = default;
    /// `scope` separates the keys of organisations and services. The handler runs exactly once
    /// and within a bounded time. `granted` is good until `dispatch_allowed` says otherwise.
    virtual void claim(const std::string& scope, const idempotency_key& key,
                       const request_id& request, claim_handler handler) = 0;
    /// To be asked immediately before dispatch; true at most once for a grant, and false once
    /// the grant is too old to use.
    virtual bool dispatch_allowed(const request_id& request) = 0;

    /// Gives the permission of `dispatch_allowed` back; only if it is certain that no byte was
    /// sent, for example because the connection was refused.
    virtual void not_dispatched(const request_id& request) { static_cast<void>(request); }

    /// Frees the key; only for a granted request that never dispatched.
    virtual void release(const request_id& request, done_handler handler) = 0;
    /// Keeps the outcome of a granted request.
    virtual void finish(const request_id& request, recorded_outcome outcome,
                        done_handler handler) = 0;
    /// The request was dispatched and its outcome will never be known.
    virtual void abandon(const request_id& request) = 0;
};

} // namespace eelgrassbend

#endif
