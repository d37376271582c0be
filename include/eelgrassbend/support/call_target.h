#ifndef EELGRASSBEND_SUPPORT_CALL_TARGET_H
#define EELGRASSBEND_SUPPORT_CALL_TARGET_H

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbend {

/// Builds the target of an HTTP call. Every value is percent-encoded, except for the unreserved
/// characters of RFC 3986.
class call_target {
public:
    /// `path` is a constant and not encoded.
    explicit call_target(std::string_view path) : text(path) {}

    /// Appends a slash and `value`.
    call_target& segment(std::string_view value);
    /// Appends a query parameter; `name` is a constant and not encoded.
    call_target& parameter(std::string_view name, std::string_view value);
    call_target& parameter(std::string_view name, std::uint64_t value);

    [[nodiscard]] const std::string& to_string() const { return this->text; }

private:
    void append_encoded(std::string_view value);

    std::string text;
    bool has_parameters = false;
};

} // namespace eelgrassbend

#endif
