#include "eelgrassbend/quarantine/crash_report.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

part_keys shared_part_keys(const service_id& service, const std::vector<prompt_part>& parts)
{
    part_keys keys;
    const auto seed = stable_hash(service.value());
    for (std::size_t index = 0; index + 1 < parts.size() && index < max_examined_parts; ++index) {
        keys.emplace_back(parts[index].id ^ seed);
    }
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    return keys;
}

crash_id make_crash_id(const endpoint_id& endpoint, std::int64_t started)
{
    return crash_id{stable_hash(endpoint.value(), static_cast<std::uint64_t>(started))};
}

std::string part_names(const part_keys& parts)
{
    std::string names;
    for (const auto& part : parts) {
        names += names.empty() ? "" : " ";
        names += part_name(part.value());
    }
    return names;
}

} // namespace eelgrassbend
