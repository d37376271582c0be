#include "setting_values.h"

#include <boost/asio/ip/address.hpp>

#include <fstream>
#include <sstream>

namespace eelgrassbend {

network_address read_address(toml_reader& table, const std::string& key)
{
    constexpr long max_port = 65'535;
    const auto text = table.string(key);
    const auto colon = text.rfind(':');
    const char* allowed = "must be an IP address and a port, such as 127.0.0.1:8080";
    if (colon == std::string::npos) {
        table.reject(key, allowed);
        return {};
    }
    const auto ip = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    boost::system::error_code failure;
    boost::asio::ip::make_address(ip, failure);
    const bool is_numeric = !port.empty() && port.size() <= 5 &&
                            port.find_first_not_of("0123456789") == std::string::npos;
    if (failure || !is_numeric || std::stol(port) > max_port) {
        table.reject(key, allowed);
        return {};
    }
    return {ip, static_cast<std::uint16_t>(std::stol(port))};
}

std::string read_name(toml_reader& table, const std::string& key)
{
    auto name = table.string(key);
    constexpr std::size_t max_name_length = 64;
    const auto allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    if (name.empty() || name.size() > max_name_length ||
        name.find_first_not_of(allowed) != std::string::npos) {
        table.reject(key, "must be 1 to 64 lower-case letters, digits and hyphens");
    }
    return name;
}

result<std::string> read_settings_file(const std::string& file)
{
    std::ifstream stream{file, std::ios::binary};
    if (!stream) {
        return make_error(errc::not_found, "read settings", file, "cannot open file");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace eelgrassbend
