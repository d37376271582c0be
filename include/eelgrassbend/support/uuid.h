#ifndef EELGRASSBEND_SUPPORT_UUID_H
#define EELGRASSBEND_SUPPORT_UUID_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/units.h"

#include <string>
#include <string_view>

namespace eelgrassbend {

/// A UUIDv7 (RFC 9562) in its usual text form, lower case.
std::string make_uuid_v7(wall_time time, random_source& random);

/// The time in a UUIDv7, to the millisecond; an error if `text` is not one or lies after 2199.
result<wall_time> uuid_v7_time(std::string_view text);

} // namespace eelgrassbend

#endif
