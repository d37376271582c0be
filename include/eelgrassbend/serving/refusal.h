#ifndef EELGRASSBEND_SERVING_REFUSAL_H
#define EELGRASSBEND_SERVING_REFUSAL_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>

namespace eelgrassbend {

class exchange;

/// Whether the request was run.
enum class request_outcome {
    not_run, ///< the request was not charged, dispatched or billed
    unknown, ///< it may have run
    ran,
};

const char* to_string(request_outcome outcome);

/// An unsuccessful answer.
struct refusal {
    int status = 500;
    request_outcome outcome = request_outcome::not_run;
    error reason;
    std::optional<duration> retry_after;
};

/// Returns the HTTP status for an error of a request that did not run.
int http_status_for(const error& reason);

header_list refusal_headers(const refusal& refused);
std::string refusal_body(const refusal& refused);

/// Ends the exchange with a refusal.
void refuse(exchange& answer, const refusal& refused);

} // namespace eelgrassbend

#endif
