#include "fleet.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>

namespace eelgrassbend::bench {

using nlohmann::json;

result<network_address> parse_url(const std::string& url)
{
    const std::string scheme = "http://";
    const auto text = url.starts_with(scheme) ? url.substr(scheme.size()) : url;
    const auto colon = text.rfind(':');
    network_address address;
    if (colon != std::string::npos) {
        address.ip = text.substr(0, colon);
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
        if (parsed.ec == std::errc{}) {
            return address;
        }
    }
    return make_error(errc::invalid_argument, "parse address", url);
}

static fleet_process read_process(const json& entry)
{
    fleet_process process;
    process.name = entry.value("name", std::string{});
    process.service = entry.value("service", std::string{});
    process.zone = entry.value("zone", std::string{});
    process.address = parse_url(entry.at("url").get<std::string>()).value();
    return process;
}

result<fleet> read_fleet(const std::string& file)
{
    std::ifstream stream{file};
    if (!stream) {
        return make_error(errc::not_found, "read fleet", file, "the file cannot be opened");
    }
    try {
        const auto text = json::parse(stream);
        fleet read;
        read.platform = parse_url(text.at("platform").at("url").get<std::string>()).value();
        for (const auto& entry : text.at("entries")) {
            read.entries.push_back(read_process(entry));
        }
        for (const auto& entry : text.at("endpoints")) {
            read.endpoints.push_back(read_process(entry));
        }
        for (const auto& entry : text.at("organisations")) {
            read.organisations.push_back(
                {entry.at("name").get<std::string>(), entry.at("key").get<std::string>()});
        }
        return read;
    }
    catch (const std::exception& failure) {
        return make_error(errc::invalid_argument, "read fleet", file, failure.what());
    }
}

} // namespace eelgrassbend::bench
