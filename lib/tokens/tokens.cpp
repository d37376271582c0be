#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/tokens/block_chain.h"

#include <utility>

namespace eelgrassbend {

// The classes of characters are spelt out, since those of <cctype> change with the locale. Bytes
// of a multi-byte character count as letters, so that it is never torn into several tokens.
static bool is_word_character(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9') || byte >= 0x80;
}

static bool is_white_space(char character)
{
    return character == ' ' || (character >= '\t' && character <= '\r') || character == '\0';
}

std::vector<std::string> split_tokens(const std::string& text)
{
    std::vector<std::string> tokens;
    std::string word;
    const auto end_word = [&] {
        if (!word.empty()) {
            tokens.push_back(std::exchange(word, {}));
        }
    };
    for (const char character : text) {
        if (is_word_character(character)) {
            word += character;
            continue;
        }
        end_word();
        if (!is_white_space(character)) {
            tokens.emplace_back(1, character);
        }
    }
    end_word();
    return tokens;
}

std::vector<std::uint64_t> prefix_blocks(const std::vector<std::string>& tokens)
{
    block_chain chain;
    for (const auto& token : tokens) {
        chain.append(token);
    }
    return chain.blocks();
}

} // namespace eelgrassbend
