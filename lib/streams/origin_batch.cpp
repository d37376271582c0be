#include "eelgrassbend/streams/origin_batch.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace eelgrassbend {

stream_key make_stream_key(const service_id& service, const request_id& stream)
{
    return stream_key{stable_hash(stream.value(), stable_hash(service.value()))};
}

std::string encode_batch(const origin_batch& batch)
{
    auto versions = nlohmann::json::object();
    for (const auto& [key, version] : batch.origins) {
        versions[version.value()].push_back(key.value());
    }
    return nlohmann::json{{"written_ms", batch.written_ms}, {"versions", versions}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<origin_batch> decode_batch(const std::string& bytes)
{
    const auto invalid = [](const char* detail) {
        return make_error(errc::invalid_argument, "decode stream origins", "store", detail);
    };
    const auto parsed = nlohmann::json::parse(bytes, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("written_ms") || !parsed.contains("versions") ||
        !parsed["written_ms"].is_number_integer() || !parsed["versions"].is_object()) {
        return invalid("record is not an object with the expected fields");
    }
    origin_batch batch;
    batch.written_ms = parsed["written_ms"].get<std::int64_t>();
    for (const auto& [version, keys] : parsed["versions"].items()) {
        if (!keys.is_array()) {
            return invalid("keys of a version are not a list");
        }
        for (const auto& key : keys) {
            if (!key.is_number_unsigned()) {
                return invalid("key is not a number");
            }
            batch.origins.insert_or_assign(stream_key{key.get<std::uint64_t>()},
                                           software_version{version});
        }
    }
    return batch;
}

std::int64_t wall_milliseconds(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace eelgrassbend
