#include "claim_batch.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static claim_batch example_batch()
{
    seeded_random random{2};
    const idempotency_key key{make_uuid_v7(wall_time{std::chrono::hours{500'000}}, random)};
    const auto parsed = make_claim_key("lodges", key).value();
    return {3,
            {{claim_record_kind::claim, parsed, request_id{"e1-a"}, node_id{"e1"}, {}},
             {claim_record_kind::finished,
              parsed,
              request_id{"e1-a"},
              node_id{"e1"},
              {201, "text/plain", "done", "d1"}}}};
}

static std::vector<record_verdict> example_verdicts()
{
    const claim_holder holder{
        request_id{"e2-b"}, node_id{"e2"}, {}, claim_end::finished, {200, "text/plain", "x", "d"}};
    return {{verdict_kind::won, {}}, {verdict_kind::held, holder}};
}

BOOST_AUTO_TEST_CASE(batches_and_verdicts_survive_the_wire)
{
    const auto batch = decode_claim_batch(encode_claim_batch(example_batch())).value();
    BOOST_TEST(batch.partition == 3U);
    BOOST_TEST(batch.records.size() == 2U);
    BOOST_TEST((batch.records[0].key == example_batch().records[0].key));
    BOOST_TEST(batch.records[1].outcome.body == "done");
    const auto verdicts = decode_verdicts(encode_verdicts(example_verdicts())).value();
    BOOST_TEST(verdicts.size() == 2U);
    BOOST_TEST((verdicts[0].kind == verdict_kind::won));
    BOOST_TEST((verdicts[1].holder.request == request_id{"e2-b"}));
    BOOST_TEST(verdicts[1].holder.outcome.body == "x");
}

/// Damages `whole` in many ways; answers how many results `decode` refused.
template <typename Decode>
static std::size_t refused_of(const std::string& whole, std::size_t rounds, Decode decode)
{
    seeded_random random{9};
    std::size_t refused = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        auto bytes = whole;
        for (int flips = 0; flips < 3; ++flips) {
            bytes[random_below(random, bytes.size())] = static_cast<char>(random() & 0xffU);
        }
        if (round % 2 == 0) {
            bytes.resize(random_below(random, bytes.size() + 1));
        }
        refused += decode(bytes).has_value() ? 0 : 1;
    }
    return refused;
}

// Each result is either refused or well formed; sanitizers watch the reads.
BOOST_AUTO_TEST_CASE(damaged_messages_of_peers_do_no_harm)
{
    constexpr std::size_t rounds = 10'000;
    const auto batches = refused_of(encode_claim_batch(example_batch()), rounds,
                                    [](const auto& bytes) { return decode_claim_batch(bytes); });
    const auto verdicts = refused_of(encode_verdicts(example_verdicts()), rounds,
                                     [](const auto& bytes) { return decode_verdicts(bytes); });
    BOOST_TEST(batches > rounds / 2);
    BOOST_TEST(verdicts > rounds / 2);
}

} // namespace eelgrassbend
