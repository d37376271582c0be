#ifndef EELGRASSBEND_SUPPORT_HASH_H
#define EELGRASSBEND_SUPPORT_HASH_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// XXH3, 64 bits; the same on every node.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 in lower-case hexadecimal; used for answer digests.
std::string sha256_hex(std::string_view bytes);

/// The `count` members with the highest rendezvous weight for `key`, best first.
std::vector<std::string> rendezvous(std::string_view key, const std::vector<std::string>& members,
                                    std::size_t count);

} // namespace eelgrassbend

#endif
