#ifndef EELGRASSBEND_LIB_FLEET_CRASH_REPORT_CODEC_H
#define EELGRASSBEND_LIB_FLEET_CRASH_REPORT_CODEC_H

#include "eelgrassbend/codec/kj_compare.h"
#include "eelgrassbend/quarantine/crash_report.h"

#include "fleet.capnp.h"

#include <cstddef>

namespace eelgrassbend {

/// Returns an upper bound of the bytes that a report adds to a packed digest.
std::size_t crash_report_bytes(const crash_report& report);
void write_crash_report(const crash_report& report, wire::CrashReport::Builder out);
/// Parts come out sorted, and at most `max_examined_parts` for each entry.
crash_report read_crash_report(wire::CrashReport::Reader in);

} // namespace eelgrassbend

#endif
