#include "bundle_builder.h"

#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/support/random_source.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static std::string mutate(std::string text, seeded_random& random)
{
    const auto edits = 1 + random_below(random, 4);
    for (std::uint64_t edit = 0; edit < edits && !text.empty(); ++edit) {
        const auto place = random_below(random, text.size());
        switch (random_below(random, 5)) {
        case 0:
            text[place] = static_cast<char>(random_below(random, 256));
            break;
        case 1:
            text.erase(place, random_below(random, 64));
            break;
        case 2:
            text.insert(place, text.substr(random_below(random, text.size()), 32));
            break;
        case 3:
            text.resize(place);
            break;
        default:
            text.insert(place, 1 + random_below(random, 40), "[{\"9-"[random_below(random, 5)]);
        }
    }
    return text;
}

BOOST_AUTO_TEST_CASE(mutated_records_are_refused_without_harm)
{
    constexpr std::uint64_t rounds = 20'000;
    const auto signers = test_operators({1});
    bundle_fold source{signers};
    const auto first = test_record(test_signed(test_bundle(1, 0, signers), {1}));
    source.apply({log_offset{0}, first.id, {}, first.payload});
    const std::vector<std::string> seeds{first.payload, encode_record(source.checkpoint())};
    seeded_random random{11};
    std::size_t decoded = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const auto& original = seeds[round % seeds.size()];
        const auto payload = mutate(original, random);
        bundle_fold fold{signers};
        const auto decision = fold.apply({log_offset{0}, first.id, {}, payload});
        BOOST_REQUIRE((payload == original || decision.verdict != bundle_verdict::accepted));
        const auto record = decode_record(payload);
        if (!record) {
            continue;
        }
        ++decoded;
        if (const auto* checkpoint = std::get_if<bundle_checkpoint>(&record.value())) {
            bundle_fold target{signers};
            // The part outside the signatures may differ, what is in force may not.
            const bool adopted = !!target.adopt(*checkpoint);
            BOOST_REQUIRE((!adopted || target.current()->version.value() == 0 ||
                           target.current()->services.front().id.value() == "service-a"));
        }
    }
    // Some must get past the outer decoder, or the mutations test nothing behind it.
    BOOST_TEST(decoded > rounds / 100);
}

} // namespace eelgrassbend
