#ifndef EELGRASSBEND_SERVING_RIVAL_ATTEMPT_H
#define EELGRASSBEND_SERVING_RIVAL_ATTEMPT_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/support/ids.h"

#include <memory>
#include <string>

namespace eelgrassbend {

class request_flow;

/// The second attempt of a hedged request. Keeps what its endpoint says until the request goes on
/// with it, and passes everything on from then.
class rival_attempt : public attempt_observer, public std::enable_shared_from_this<rival_attempt> {
public:
    rival_attempt(request_flow& flow, attempt_id id, endpoint_info target)
        : flow(flow), id(std::move(id)), target(std::move(target))
    {
    }

    void on_head(int answered, const header_list& headers) override;
    void on_body(std::string_view bytes) override;
    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;
    /// The request goes on with this attempt.
    std::unique_ptr<attempt_handle> adopt();
    /// Hands over what was kept; after `adopt`.
    void replay();

    request_flow& flow;
    attempt_id id;
    endpoint_info target;
    std::unique_ptr<attempt_handle> handle;

private:
    bool adopted = false;
    int status = 0;
    std::string kept;
};

} // namespace eelgrassbend

#endif
