#include "eelgrassbend/routing/load_digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

namespace {

constexpr duration min_interval = std::chrono::milliseconds{250};
/// Bytes of framing, authentication and network headers around a digest.
constexpr std::size_t message_overhead = 120;
/// Fields of the usage of one endpoint, including its name.
constexpr std::size_t usage_fields = 4;

} // namespace

std::string encode(const load_digest& digest)
{
    auto usages = nlohmann::json::array();
    for (const auto& usage : digest.endpoints) {
        usages.push_back({usage.endpoint.value(), usage.outstanding, usage.pending_prompt_tokens,
                          usage.is_suspected});
    }
    const auto packed = nlohmann::json::to_msgpack({digest.from.value(), usages});
    return {packed.begin(), packed.end()};
}

static error malformed(const std::string& detail)
{
    return make_error(errc::invalid_argument, "decode load digest", {}, detail);
}

static bool well_formed(const nlohmann::json& usage)
{
    return usage.is_array() && usage.size() == usage_fields && usage[0].is_string() &&
           usage[1].is_number_unsigned() && usage[2].is_number_integer() && usage[3].is_boolean();
}

result<load_digest> decode_load_digest(const std::string& bytes)
{
    const auto fields = nlohmann::json::from_msgpack(bytes, true, false);
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_string() ||
        !fields[1].is_array()) {
        return malformed("not a digest");
    }
    load_digest digest;
    digest.from = node_id{fields[0].get<std::string>()};
    for (const auto& usage : fields[1]) {
        if (!well_formed(usage)) {
            return malformed("not the usage of an endpoint");
        }
        digest.endpoints.push_back({endpoint_id{usage[0].get<std::string>()},
                                    usage[1].get<std::uint32_t>(), usage[2].get<std::int64_t>(),
                                    usage[3].get<bool>()});
    }
    return digest;
}

duration digest_interval(std::size_t bytes, std::size_t receivers)
{
    const auto total = static_cast<double>((bytes + message_overhead) * receivers);
    const std::chrono::duration<double> paced{total / static_cast<double>(digest_bytes_per_second)};
    return std::max(min_interval, std::chrono::duration_cast<duration>(paced));
}

} // namespace eelgrassbend
