#ifndef EELGRASSBEND_SERVING_HEDGE_ATTEMPT_H
#define EELGRASSBEND_SERVING_HEDGE_ATTEMPT_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/support/ids.h"

#include <memory>
#include <string>

namespace eelgrassbend {

class request_flow;

/// The second attempt of a hedged request. Buffers its endpoint's answer until the request adopts
/// it, and forwards everything to the request from then on.
class hedge_attempt : public attempt_observer, public std::enable_shared_from_this<hedge_attempt> {
public:
    hedge_attempt(request_flow& flow, attempt_id id, endpoint_info target)
        : flow(flow), id(std::move(id)), target(std::move(target))
    {
    }

    void on_head(int status_code, const header_list& headers) override;
    void on_body(std::string_view bytes) override;
    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;
    /// Makes this the attempt of the request and returns its handle.
    std::unique_ptr<attempt_handle> adopt();
    /// Forwards the buffered answer to the request; call after `adopt`.
    void replay();

    request_flow& flow;
    attempt_id id;
    endpoint_info target;
    std::unique_ptr<attempt_handle> handle;

private:
    bool is_adopted = false;
    int status = 0;
    std::string buffered_body;
};

} // namespace eelgrassbend

#endif
