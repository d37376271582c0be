#ifndef EELGRASSBEND_SUPPORT_ERROR_H
#define EELGRASSBEND_SUPPORT_ERROR_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>

#include <string>
#include <system_error>

namespace eelgrassbend {

/// The kinds of failure that callers of this library tell apart.
enum class errc {
    invalid_argument = 1, ///< the input is malformed or out of bounds
    not_found,
    unauthenticated, ///< the key or signature is missing or wrong
    forbidden,       ///< known, but not allowed
    rate_limited,    ///< over a limit; try again later
    unavailable,     ///< nothing was done; trying again is safe
    outcome_unknown, ///< the action may or may not have taken effect
    timed_out,       ///< no answer in time; the action may have taken effect
    truncated,       ///< the answer ended before it was whole
    mismatched,      ///< the answer belongs to something else
    conflict,        ///< somebody else was first
    stale,           ///< this node's view is too old to decide
    cancelled,
    internal,
};

const std::error_category& eelgrassbend_category();
std::error_code make_error_code(errc code);

/// A failure with the step and the peer at which it arose.
struct error {
    std::error_code code;
    std::string step;   ///< for example "append claim"
    std::string peer;   ///< for example "platform log 127.0.0.1:7000"; may be empty
    std::string detail; ///< lower case, no full stop; may be empty

    /// One line: "<step> (<peer>): <message>: <detail>".
    [[nodiscard]] std::string to_string() const;
};

error make_error(errc code, std::string step, std::string peer = {}, std::string detail = {});

/// A value or an error.
template <typename Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::all_narrow>;

} // namespace eelgrassbend

template <>
struct std::is_error_code_enum<eelgrassbend::errc> : std::true_type {};

#endif
