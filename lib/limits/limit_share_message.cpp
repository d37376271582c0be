#include "eelgrassbend/limits/limit_peers.h"

#include <nlohmann/json.hpp>

namespace eelgrassbend {

/// Fields of one organisation.
static constexpr std::size_t usage_fields = 3;

std::string encode(const limit_share_message& message)
{
    auto usages = nlohmann::json::array();
    for (const auto& usage : message.usages) {
        usages.push_back({usage.organisation.value(), usage.requests_per_second, usage.share});
    }
    const auto packed = nlohmann::json::to_msgpack({message.from.value(), usages});
    return {packed.begin(), packed.end()};
}

static error malformed(const std::string& detail)
{
    return make_error(errc::invalid_argument, "decode limit share", {}, detail);
}

static bool well_formed(const nlohmann::json& usage)
{
    return usage.is_array() && usage.size() == usage_fields && usage[0].is_string() &&
           usage[1].is_number() && usage[1].get<double>() >= 0.0 && usage[2].is_number();
}

result<limit_share_message> decode_limit_share(const std::string& bytes)
{
    const auto fields = nlohmann::json::from_msgpack(bytes, true, false);
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_string() ||
        !fields[1].is_array()) {
        return malformed("not a limit share");
    }
    limit_share_message message;
    message.from = node_id{fields[0].get<std::string>()};
    for (const auto& usage : fields[1]) {
        if (!well_formed(usage)) {
            return malformed("not the usage of an organisation");
        }
        message.usages.push_back({organisation_id{usage[0].get<std::string>()},
                                  usage[1].get<double>(), usage[2].get<double>()});
    }
    return message;
}

} // namespace eelgrassbend
