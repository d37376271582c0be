#ifndef EELGRASSBEND_SUPPORT_IDS_H
#define EELGRASSBEND_SUPPORT_IDS_H

#include "eelgrassbend/support/strong_type.h"

#include <cstdint>
#include <string>

namespace eelgrassbend {

/// Name of an entry node, unique among the entry nodes alive at one time.
using node_id = strong_type<struct node_id_tag, std::string>;
/// Name of a machine in the platform's host list.
using host_name = strong_type<struct host_name_tag, std::string>;
/// Name of a back end that runs one service.
using endpoint_id = strong_type<struct endpoint_id_tag, std::string>;
using availability_zone = strong_type<struct availability_zone_tag, std::string>;
using region_name = strong_type<struct region_name_tag, std::string>;
using organisation_id = strong_type<struct organisation_id_tag, std::string>;
using service_id = strong_type<struct service_id_tag, std::string>;
using model_id = strong_type<struct model_id_tag, std::string>;
using machine_class = strong_type<struct machine_class_tag, std::string>;

/// Identifies one request of a caller. Shape: "<node>-<UUIDv7>".
using request_id = strong_type<struct request_id_tag, std::string>;
/// Identifies one dispatch of a request. Shape: "<request>/<number>".
using attempt_id = strong_type<struct attempt_id_tag, std::string>;
/// A UUIDv7 that a caller chooses for a non-idempotent request.
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/// Name of a stream of the platform's log, for example "bundles".
using stream_name = strong_type<struct stream_name_tag, std::string>;
/// Position of a record in a stream; the first is 0.
using log_offset = strong_number<struct log_offset_tag, std::uint64_t>;
/// Unique id of a record; a repeated id is ignored on reading.
using record_id = strong_type<struct record_id_tag, std::string>;
/// Version number that operators give to a bundle; 0 is the empty bundle.
using bundle_version = strong_number<struct bundle_version_tag, std::uint64_t>;
/// Orders the holders of the lease under which an order is given; see `duty_lease`.
using fencing_token = strong_number<struct fencing_token_tag, std::uint64_t>;

} // namespace eelgrassbend

#endif
