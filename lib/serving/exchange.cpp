#include "eelgrassbend/serving/exchange.h"

#include <boost/algorithm/string/predicate.hpp>

namespace eelgrassbend {

std::string http_request::header(std::string_view name) const
{
    for (const auto& [key, value] : this->headers) {
        if (boost::algorithm::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

std::string http_request::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

static int hex_digit(char digit)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto lower = static_cast<char>(digit | 0x20);
    const auto position = digits.find(digit >= 'A' ? lower : digit);
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

static std::string decode_percent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '+') {
            decoded += ' ';
            continue;
        }
        if (text[index] != '%' || index + 2 >= text.size()) {
            decoded += text[index];
            continue;
        }
        const int high = hex_digit(text[index + 1]);
        const int low = hex_digit(text[index + 2]);
        if (high < 0 || low < 0) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>((high << 4) | low);
        index += 2;
    }
    return decoded;
}

std::string http_request::query(std::string_view name) const
{
    const auto start = this->target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view{this->target}.substr(start + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return decode_percent(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

} // namespace eelgrassbend
