#ifndef EELGRASSBEND_CONTROL_COMMAND_H
#define EELGRASSBEND_CONTROL_COMMAND_H

#include "eelgrassbend/support/error.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace eelgrassbend {

/// What an operator's command ends with, for scripts.
enum class exit_status {
    ok = 0,
    negative = 1, ///< the answer is no: rejected, invalid, not found
    usage = 2,
    unavailable = 3, ///< no answer, or not known; try again
};

struct command_result {
    exit_status status = exit_status::ok;
    nlohmann::json data; ///< for --json
    std::string text;    ///< for people, whole lines
    std::string warning; ///< for the error output, whole lines
};

using command_handler = std::function<void(const command_result&)>;

/// The result of a command that met `failure`.
command_result failed_command(const error& failure);

} // namespace eelgrassbend

#endif
