#include "eelgrassbend/support/call_target.h"

#include <utility>

namespace eelgrassbend {

static constexpr std::string_view unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
static constexpr std::string_view digits = "0123456789ABCDEF";

call_target& call_target::segment(std::string_view value)
{
    this->text += '/';
    this->append_encoded(value);
    return *this;
}

call_target& call_target::parameter(std::string_view name, std::string_view value)
{
    this->text += std::exchange(this->has_parameters, true) ? '&' : '?';
    this->text += name;
    this->text += '=';
    this->append_encoded(value);
    return *this;
}

call_target& call_target::parameter(std::string_view name, std::uint64_t value)
{
    return this->parameter(name, std::to_string(value));
}

void call_target::append_encoded(std::string_view value)
{
    for (const char letter : value) {
        if (unreserved.find(letter) != std::string_view::npos) {
            this->text += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        this->text += {'%', digits[byte >> 4U], digits[byte & 0x0fU]};
    }
}

} // namespace eelgrassbend
