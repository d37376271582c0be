#ifndef EELGRASSBEND_TOKENS_BLOCK_CHAIN_H
#define EELGRASSBEND_TOKENS_BLOCK_CHAIN_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// Builds the block hashes of prefix_blocks one token at a time.
class block_chain {
public:
    void append(std::string_view token);

    /// One hash for each whole block so far.
    [[nodiscard]] const std::vector<std::uint64_t>& blocks() const { return this->hashes; }

    /// All tokens so far, those after the last whole block too.
    [[nodiscard]] std::int64_t tokens() const { return this->count; }

private:
    std::vector<std::uint64_t> hashes;
    std::string open_block;
    std::int64_t count = 0;
};

} // namespace eelgrassbend

#endif
