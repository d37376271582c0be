#include "eelgrassbend/engine_model/prompt.h"

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/hash.h"

#include <array>
#include <cmath>
#include <string_view>

namespace eelgrassbend {

static constexpr double min_answer_tokens = 8.0;
static constexpr double max_answer_tokens = 2048.0;

// Letters only, so that a text of these words is split into the same tokens.
static constexpr std::array<std::string_view, 64> vocabulary{
    "arch",   "badge",  "band",   "bench",   "bevel",   "blank",  "border",  "bronze",
    "brush",  "centre", "chain",  "clasp",   "colour",  "copper", "corner",  "counter",
    "crest",  "cup",    "dent",   "desk",    "draft",   "edge",   "engrave", "finish",
    "foil",   "font",   "frame",  "gate",    "gilt",    "glass",  "grain",   "guest",
    "handle", "hinge",  "inlay",  "lacquer", "lanyard", "layout", "ledge",   "lid",
    "line",   "logo",   "margin", "mould",   "name",    "needle", "paper",   "patina",
    "plate",  "polish", "print",  "rim",     "ring",    "satin",  "seal",    "sheet",
    "silver", "solder", "stem",   "strap",   "tag",     "trophy", "venue",   "weld"};

engine_prompt make_prompt(const std::string& text)
{
    engine_prompt prompt;
    prompt.seed = stable_hash(text);
    for (const auto& token : split_tokens(text)) {
        prompt.tokens.append(token);
    }
    return prompt;
}

static std::uint64_t mix(std::uint64_t seed, std::int64_t index)
{
    return stable_hash({reinterpret_cast<const char*>(&index), sizeof index}, seed);
}

// Answer lengths are log-uniform: equal shares fall between 8 and 16 tokens, 16 and 32 and so on,
// which yields the long tail of a mixed workload.
token_count answer_length(std::uint64_t seed)
{
    constexpr std::int64_t length_index = -1;
    constexpr int fraction_bits = 53;
    const auto fraction =
        std::ldexp(static_cast<double>(mix(seed, length_index) >> 11U), -fraction_bits);
    const auto length =
        min_answer_tokens * std::pow(max_answer_tokens / min_answer_tokens, fraction);
    return token_count{static_cast<std::int64_t>(length)};
}

std::string answer_token(std::uint64_t seed, std::int64_t index)
{
    const auto word = vocabulary.at(mix(seed, index) % vocabulary.size());
    std::string token = index > 0 ? " " : "";
    token += word;
    return token;
}

std::string answer_text(std::uint64_t seed, std::int64_t count)
{
    std::string text;
    for (std::int64_t index = 0; index < count; ++index) {
        text += answer_token(seed, index);
    }
    return text;
}

} // namespace eelgrassbend
