#include "eelgrassbend/support/hex.h"

namespace eelgrassbend {

static constexpr std::string_view hex_digits = "0123456789abcdef";

std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hex_digits[value >> 4U];
        text += hex_digits[value & 0x0fU];
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text, std::size_t byte_count)
{
    if (text.size() != byte_count * 2) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(byte_count);
    for (std::size_t index = 0; index < text.size(); index += 2) {
        const auto high = hex_digits.find(text[index]);
        const auto low = hex_digits.find(text[index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes += static_cast<char>((high << 4U) | low);
    }
    return bytes;
}

} // namespace eelgrassbend
