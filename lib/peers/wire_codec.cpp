#include "wire_codec.h"

#include <arpa/inet.h>

#include <array>

namespace eelgrassbend::wire_codec {

static constexpr std::size_t ipv4_bytes = 4;
static constexpr std::size_t ipv6_bytes = 16;

result<void> write_address(const network_address& address, wire::Address::Builder out)
{
    std::array<kj::byte, ipv6_bytes> raw{};
    std::size_t length = 0;
    if (inet_pton(AF_INET, address.ip.c_str(), raw.data()) == 1) {
        length = ipv4_bytes;
    }
    if (length == 0 && inet_pton(AF_INET6, address.ip.c_str(), raw.data()) == 1) {
        length = ipv6_bytes;
    }
    if (length == 0) {
        return make_error(errc::invalid_argument, "encode address", address.to_string(),
                          "not an IP address");
    }
    out.setIp(kj::arrayPtr(raw.data(), length));
    out.setPort(address.port);
    return boost::outcome_v2::success();
}

result<network_address> read_address(wire::Address::Reader in)
{
    const auto raw = in.getIp();
    if (raw.size() != ipv4_bytes && raw.size() != ipv6_bytes) {
        return make_error(errc::invalid_argument, "decode address", {}, "not an IP address");
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    const auto family = raw.size() == ipv4_bytes ? AF_INET : AF_INET6;
    if (inet_ntop(family, raw.begin(), text.data(), text.size()) == nullptr) {
        return make_error(errc::invalid_argument, "decode address", {}, "not an IP address");
    }
    return network_address{text.data(), in.getPort()};
}

capnp::Data::Reader as_data(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string read_data(capnp::Data::Reader in)
{
    return {reinterpret_cast<const char*>(in.begin()), in.size()};
}

std::string read_text(capnp::Text::Reader in)
{
    KJ_REQUIRE(in.size() <= max_text_bytes, "text too long");
    return {in.begin(), in.size()};
}

std::string pack(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

error malformed_bytes_error(const kj::Exception& reason)
{
    return make_error(errc::invalid_argument, "decode peer message", {},
                      reason.getDescription().cStr());
}

} // namespace eelgrassbend::wire_codec
