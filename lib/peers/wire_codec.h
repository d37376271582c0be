#ifndef EELGRASSBEND_LIB_PEERS_WIRE_CODEC_H
#define EELGRASSBEND_LIB_PEERS_WIRE_CODEC_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"

#include "kj_operators.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <peer.capnp.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend::wire_codec {

/// Maximum number of list elements in a datagram.
constexpr std::size_t max_list_length = 256;
/// Maximum size of a text, in bytes.
constexpr std::size_t max_text_bytes = 255;
/// Traversal limit for decoding a datagram, in words.
constexpr std::uint64_t datagram_traversal_words = 4'096;
/// Traversal limit for decoding a call or an answer, in words; 16 MB.
constexpr std::uint64_t call_traversal_words = 2'097'152;

result<void> write_address(const network_address& address, wire::Address::Builder out);
result<network_address> read_address(wire::Address::Reader in);

capnp::Data::Reader as_data(std::string_view bytes);
std::string read_data(capnp::Data::Reader in);
/// Throws kj::Exception if the text is longer than `max_text_bytes`.
std::string read_text(capnp::Text::Reader in);
std::string pack(capnp::MessageBuilder& message);
error malformed_bytes_error(const kj::Exception& reason);

template <typename Value>
unsigned int list_length(const std::vector<Value>& values)
{
    return static_cast<unsigned int>(values.size());
}

template <typename Number, typename Builder>
void write_numbers(const std::vector<Number>& numbers, Builder out)
{
    for (unsigned int index = 0; index < out.size(); ++index) {
        out.set(index, numbers[index]);
    }
}

template <typename Number, typename Reader>
std::vector<Number> read_numbers(Reader in)
{
    KJ_REQUIRE(in.size() <= max_list_length, "list too long");
    std::vector<Number> numbers;
    for (const Number number : in) {
        numbers.push_back(number);
    }
    return numbers;
}

/// Decodes the packed message in `bytes` with `read`, a function from the root to result<Value>.
template <typename Root, typename Value, typename Read>
result<Value> unpack(std::string_view bytes, std::uint64_t traversal_words, Read read)
{
    capnp::ReaderOptions limits;
    limits.traversalLimitInWords = traversal_words;
    limits.nestingLimit = 16;
    result<Value> decoded = make_error(errc::invalid_argument, "decode peer message");
    const auto failure = kj::runCatchingExceptions([&] {
        const auto* begin = reinterpret_cast<const kj::byte*>(bytes.data());
        kj::ArrayInputStream in(kj::arrayPtr(begin, bytes.size()));
        capnp::PackedMessageReader reader(in, limits);
        decoded = read(reader.getRoot<Root>());
    });
    KJ_IF_MAYBE (reason, failure) {
        return malformed_bytes_error(*reason);
    }
    return decoded;
}

} // namespace eelgrassbend::wire_codec

#endif
