#ifndef EELGRASSBEND_SERVING_HEDGE_ATTEMPT_H
#define EELGRASSBEND_SERVING_HEDGE_ATTEMPT_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/support/ids.h"

#include <memory>
#include <string>

namespace eelgrassbend {

class request_flow;

/// The second attempt of a hedged request. Keeps what its endpoint says until the request goes on
/// with it, and passes everything on from then.
class hedge_attempt : public attempt_observer, public std::enable_shared_from_this<hedge_attempt> {
public:
    hedge_attempt(request_flow& flow, attempt_id id, endpoint_info target)
        : flow(flow), id(std::move(id)), target(std::move(target))
    {
    }

    void head(int status_code, const header_list& headers) override;
    void body(std::string_view bytes) override;
    void completed() override;
    void failed(const error& reason, dispatch_state dispatched) override;
    /// The request goes on with this attempt.
    std::unique_ptr<attempt_handle> adopt();
    /// Hands over what was kept; after `adopt`.
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
