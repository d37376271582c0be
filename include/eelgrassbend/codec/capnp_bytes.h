#ifndef EELGRASSBEND_CODEC_CAPNP_BYTES_H
#define EELGRASSBEND_CODEC_CAPNP_BYTES_H

#include "eelgrassbend/codec/kj_compare.h"
#include "eelgrassbend/support/error.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <string>
#include <string_view>

namespace eelgrassbend {

/// The longest Cap'n Proto message that is read, in bytes.
inline constexpr std::size_t capnp_message_limit = std::size_t{4} * 1024 * 1024;

inline std::string to_bytes(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

inline std::string to_string(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

inline std::string to_string(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline capnp::Data::Reader as_data(std::string_view bytes)
{
    return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

/// Calls `convert` with the root of type `Root` in `bytes`. Errors: `invalid_argument` with
/// `step` if the bytes are not such a message.
template <typename Value, typename Root, typename Convert>
result<Value> from_bytes(std::string_view bytes, const char* step, Convert convert)
{
    if (bytes.size() > capnp_message_limit || bytes.size() % sizeof(capnp::word) != 0) {
        return make_error(errc::invalid_argument, step, {}, "wrong size");
    }
    // Messages are read in words, and a string need not be aligned to them.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 2 * capnp_message_limit / sizeof(capnp::word);
        capnp::FlatArrayMessageReader reader(words, options);
        return convert(reader.getRoot<Root>());
    }
    catch (const kj::Exception& failure) {
        return make_error(errc::invalid_argument, step, {}, failure.getDescription().cStr());
    }
}

} // namespace eelgrassbend

#endif
