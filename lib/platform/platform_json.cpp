#include "platform_json.h"

namespace eelgrassbend {

error status_error(const http_answer& answer, const std::string& step, const std::string& peer)
{
    const auto detail = "status " + std::to_string(answer.status);
    switch (answer.status) {
    case 400:
        return make_error(errc::invalid_argument, step, peer, detail);
    case 404:
        return make_error(errc::not_found, step, peer, detail);
    case 409:
        return make_error(errc::conflict, step, peer, detail);
    case 429:
        return make_error(errc::rate_limited, step, peer, detail);
    case 503:
        return make_error(errc::unavailable, step, peer, detail);
    default:
        return make_error(errc::outcome_unknown, step, peer, detail);
    }
}

host_entry read_host(const nlohmann::json& entry)
{
    host_entry host;
    host.name = host_name{entry.at("name").get<std::string>()};
    host.role = entry.at("role") == "entry" ? host_role::entry : host_role::endpoint;
    host.state = entry.at("state") == "leaving" ? host_state::leaving : host_state::live;
    host.region = region_name{entry.value("region", std::string{})};
    host.zone = availability_zone{entry.at("zone").get<std::string>()};
    host.type = machine_class{entry.value("type", std::string{})};
    host.reclaimable = entry.value("reclaimable", true);
    host.address = {entry.at("ip").get<std::string>(), entry.at("port").get<std::uint16_t>()};
    host.service = service_id{entry.value("service", std::string{})};
    return host;
}

} // namespace eelgrassbend
