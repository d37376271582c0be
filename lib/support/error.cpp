#include "eelgrassbend/support/error.h"

#include <utility>

namespace eelgrassbend {

static const char* describe(errc code)
{
    switch (code) {
    case errc::invalid_argument:
        return "invalid argument";
    case errc::not_found:
        return "not found";
    case errc::unauthenticated:
        return "not authenticated";
    case errc::forbidden:
        return "not allowed";
    case errc::rate_limited:
        return "over the limit";
    case errc::unavailable:
        return "unavailable";
    case errc::outcome_unknown:
        return "outcome unknown";
    case errc::timed_out:
        return "timed out";
    case errc::truncated:
        return "answer truncated";
    case errc::mismatched:
        return "answer belongs to another request";
    case errc::conflict:
        return "conflict";
    case errc::stale:
        return "view too old";
    case errc::cancelled:
        return "cancelled";
    case errc::internal:
        return "internal error";
    }
    return "unknown error";
}

namespace {

class category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "eelgrassbend"; }

    [[nodiscard]] std::string message(int value) const override
    {
        return describe(static_cast<errc>(value));
    }
};

} // namespace

const std::error_category& eelgrassbend_category()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code)
{
    return {static_cast<int>(code), eelgrassbend_category()};
}

std::string error::to_string() const
{
    std::string text = this->step;
    if (!this->peer.empty()) {
        text += " (" + this->peer + ")";
    }
    text += ": " + this->code.message();
    if (!this->detail.empty()) {
        text += ": " + this->detail;
    }
    return text;
}

error make_error(errc code, std::string step, std::string peer, std::string detail)
{
    return {make_error_code(code), std::move(step), std::move(peer), std::move(detail)};
}

} // namespace eelgrassbend
