#include "eelgrassbend/support/hash.h"

#include "eelgrassbend/support/hex.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrassbend {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return to_hex({reinterpret_cast<const char*>(digest.data()), length});
}

std::vector<std::string> rendezvous(std::string_view key, const std::vector<std::string>& members,
                                    std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    const auto seed = stable_hash(key);
    for (const auto& member : members) {
        weighted.emplace_back(stable_hash(member, seed), member);
    }
    const auto kept = std::min(count, weighted.size());
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), middle, weighted.end(), std::greater<>{});
    std::vector<std::string> chosen;
    chosen.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index) {
        chosen.push_back(std::move(weighted[index].second));
    }
    return chosen;
}

} // namespace eelgrassbend
