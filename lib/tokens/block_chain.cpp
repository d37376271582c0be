#include "eelgrassbend/tokens/block_chain.h"

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/hash.h"

namespace eelgrassbend {

/// Keeps ("a", "bc") and ("ab", "c") apart; no token contains it.
static constexpr char token_separator = '\0';

void block_chain::append(std::string_view token)
{
    this->open_block += token;
    this->open_block += token_separator;
    ++this->count;
    if (this->count % prefix_block_tokens != 0) {
        return;
    }
    const auto parent = this->hashes.empty() ? 0 : this->hashes.back();
    this->hashes.push_back(stable_hash(this->open_block, parent));
    this->open_block.clear();
}

} // namespace eelgrassbend
