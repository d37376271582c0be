#ifndef EELGRASSBEND_SUPPORT_HEX_H
#define EELGRASSBEND_SUPPORT_HEX_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassbend {

/// Lower-case hexadecimal digits, two for a byte.
std::string to_hex(std::string_view bytes);

/// The bytes of lower-case hexadecimal digits; nothing if `text` has other characters or not
/// exactly `byte_count` bytes.
std::optional<std::string> from_hex(std::string_view text, std::size_t byte_count);

} // namespace eelgrassbend

#endif
