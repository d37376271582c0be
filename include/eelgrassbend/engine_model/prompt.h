#ifndef EELGRASSBEND_ENGINE_MODEL_PROMPT_H
#define EELGRASSBEND_ENGINE_MODEL_PROMPT_H

#include "eelgrassbend/support/units.h"
#include "eelgrassbend/tokens/block_chain.h"

#include <cstdint>
#include <string>

namespace eelgrassbend {

/// A tokenized prompt. Measurements can create one without text.
struct engine_prompt {
    std::uint64_t seed = 0; ///< determines the answer
    block_chain tokens;
};

engine_prompt make_prompt(const std::string& text);

/// Length of the complete answer to a prompt with this seed, before the limit of the request.
token_count answer_length(std::uint64_t seed);

/// Token `index` of the answer, counted from 0; all except the first begin with a space.
std::string answer_token(std::uint64_t seed, std::int64_t index);

/// The first `count` tokens of the answer, concatenated.
std::string answer_text(std::uint64_t seed, std::int64_t count);

} // namespace eelgrassbend

#endif
