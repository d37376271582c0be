#ifndef EELGRASSBEND_CODEC_CAPNP_BYTES_H
#define EELGRASSBEND_CODEC_CAPNP_BYTES_H

#include "eelgrassbend/codec/kj_compare.h"
#include "eelgrassbend/support/error.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <string>
#include <string_view>

namespace eelgrassbend {

/// The longest Cap'n Proto message that is read, in bytes.
inline constexpr std::size_t capnp_message_limit = std::size_t{4} * 1024 * 1024;

/// The message in Cap'n Proto's packed form.
inline std::string to_bytes(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
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

/// Calls `convert` with the root of type `Root` in the packed message `bytes`. Errors:
/// `invalid_argument` with `step` if the bytes are not such a message.
template <typename Value, typename Root, typename Convert>
result<Value> from_bytes(std::string_view bytes, const char* step, Convert convert)
{
    if (bytes.size() > capnp_message_limit) {
        return make_error(errc::invalid_argument, step, {}, "too long");
    }
    kj::ArrayInputStream in(as_data(bytes));
    try {
        // The limit holds for the unpacked size as well, before memory is taken for it.
        capnp::ReaderOptions options;
        options.traversalLimitInWords = capnp_message_limit / sizeof(capnp::word);
        capnp::PackedMessageReader reader(in, options);
        return convert(reader.template getRoot<Root>());
    }
    catch (const kj::Exception& failure) {
        return make_error(errc::invalid_argument, step, {}, failure.getDescription().cStr());
    }
}

} // namespace eelgrassbend

#endif
