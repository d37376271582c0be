#ifndef EELGRASSBEND_LIB_SERVING_FORWARD_STATUS_H
#define EELGRASSBEND_LIB_SERVING_FORWARD_STATUS_H

namespace eelgrassbend {

// Statuses of answers by the forwarding flow itself.
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

} // namespace eelgrassbend

#endif
