#include "eelgrassbend/support/uuid.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cstdint>
#include <exception>

namespace eelgrassbend {

static constexpr int timestamp_bytes = 6;
/// 2200-01-01T00:00:00Z; the 48 bits of a UUIDv7 reach far beyond what wall_time can hold.
static constexpr std::int64_t latest_milliseconds = 7'258'118'400'000;
static constexpr std::uint8_t version_7 = 0x70;
static constexpr std::uint8_t variant_rfc = 0x80;

std::string make_uuid_v7(wall_time time, random_source& random)
{
    boost::uuids::uuid id{};
    const auto since_epoch = time.time_since_epoch();
    auto milliseconds = static_cast<std::uint64_t>(whole_milliseconds(since_epoch));
    for (int index = timestamp_bytes - 1; index >= 0; --index) {
        id.data[index] = static_cast<std::uint8_t>(milliseconds & 0xffU);
        milliseconds >>= 8U;
    }
    for (std::size_t index = timestamp_bytes; index < id.size(); ++index) {
        id.data[index] = static_cast<std::uint8_t>(random() & 0xffU);
    }
    id.data[6] = static_cast<std::uint8_t>((id.data[6] & 0x0fU) | version_7);
    id.data[8] = static_cast<std::uint8_t>((id.data[8] & 0x3fU) | variant_rfc);
    return to_string(id);
}

result<wall_time> uuid_v7_time(std::string_view text)
{
    const auto malformed = [] { return make_error(errc::invalid_argument, "parse UUIDv7"); };
    constexpr std::size_t text_length = 36;
    if (text.size() != text_length) {
        return malformed();
    }
    boost::uuids::uuid id{};
    try {
        id = boost::uuids::string_generator{}(text.begin(), text.end());
    }
    catch (const std::exception&) {
        return malformed();
    }
    if ((id.data[6] & 0xf0U) != version_7 || (id.data[8] & 0xc0U) != variant_rfc) {
        return malformed();
    }
    std::int64_t milliseconds = 0;
    for (int index = 0; index < timestamp_bytes; ++index) {
        milliseconds = (milliseconds << 8) | id.data[index];
    }
    if (milliseconds > latest_milliseconds) {
        return malformed();
    }
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

} // namespace eelgrassbend
