#ifndef EELGRASSBEND_CONTROL_REQUEST_TRACE_H
#define EELGRASSBEND_CONTROL_REQUEST_TRACE_H

#include "eelgrassbend/control/command.h"

#include <istream>
#include <string>

namespace eelgrassbend {

/// Explains the decisions about one request from the JSON log lines of any number of nodes, in
/// order of time. Lines that are not JSON objects are counted and skipped.
command_result trace_request(std::istream& lines, const std::string& request);

} // namespace eelgrassbend

#endif
