#include "eelgrassbend/standin/listen_address.h"

#include <charconv>
#include <stdexcept>

namespace eelgrassbend::standin {

network_address parse_listen_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    network_address address;
    address.ip = text.substr(0, colon);
    if (colon != std::string::npos) {
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
        if (parsed.ec == std::errc{} && parsed.ptr == end) {
            return address;
        }
    }
    throw std::invalid_argument("not an address of the form ip:port: " + text);
}

} // namespace eelgrassbend::standin
