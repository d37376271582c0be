#ifndef EELGRASSBEND_SERVING_REFUSAL_H
#define EELGRASSBEND_SERVING_REFUSAL_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>

namespace eelgrassbend {

class exchange;

/// What became of the request behind an answer.
enum class request_outcome {
    not_run, ///< nothing behind it was charged, dispatched or booked
    unknown, ///< it may have run
    ran,
};

const char* to_string(request_outcome outcome);

/// An answer that is no success.
struct refusal {
    int status = 500;
    request_outcome outcome = request_outcome::not_run;
    error reason;
    std::optional<duration> retry_after;
};

/// The status that fits an error when nothing was run.
int http_status_for(const error& reason);

header_list refusal_headers(const refusal& refused);
std::string refusal_body(const refusal& refused);

/// Ends the exchange with a refusal.
void refuse(exchange& answer, const refusal& refused);

} // namespace eelgrassbend

#endif
