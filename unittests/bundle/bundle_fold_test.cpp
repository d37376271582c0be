#include "bundle_builder.h"

#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/support/random_source.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace {

/// A stream and one fold that follows it from the start.
struct fold_fixture {
    operator_set one = test_operators({1, 2});
    bundle_fold fold{this->one};
    std::vector<log_record> records;

    bundle_decision append(const new_log_record& record)
    {
        this->records.push_back(
            {log_offset{this->records.size()}, record.id, wall_time{}, record.payload});
        return this->fold.apply(this->records.back());
    }

    bundle_decision append(const bundle& contents, const std::vector<unsigned>& signers)
    {
        return this->append(test_record(test_signed(contents, signers)));
    }

    /// Version `version` on top of `replaces`, signed by operator 1.
    bundle_verdict publish(std::uint64_t version, std::uint64_t replaces,
                           const std::string& variant = "a")
    {
        return this->append(test_bundle(version, replaces, this->one, variant), {1}).verdict;
    }

    [[nodiscard]] std::uint64_t in_force() const { return this->fold.current()->version.value(); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_first_on_the_version_in_force_wins, fold_fixture)
{
    BOOST_TEST((this->publish(1, 0) == bundle_verdict::accepted));
    BOOST_TEST((this->publish(1, 0, "b") == bundle_verdict::not_in_force));
    BOOST_TEST((this->publish(2, 1, "b") == bundle_verdict::accepted));
    BOOST_TEST((this->publish(3, 1, "c") == bundle_verdict::not_in_force));
    BOOST_TEST(this->in_force() == 2U);
    BOOST_TEST((this->publish(9, 8) == bundle_verdict::not_in_force));
    BOOST_TEST((this->publish(9, 2) == bundle_verdict::accepted));
}

BOOST_FIXTURE_TEST_CASE(a_rejection_gives_its_reason, fold_fixture)
{
    this->publish(1, 0);
    const auto raced = this->append(test_bundle(2, 0, this->one), {1});
    BOOST_TEST(raced.reason == "replaces version 0, but version 1 is in force");
    BOOST_TEST(raced.version.value() == 2U);
    BOOST_TEST(raced.in_force.value() == 1U);
}

BOOST_FIXTURE_TEST_CASE(signatures_of_distinct_operators_in_force_count, fold_fixture)
{
    const auto two = test_operators({1, 2, 3}, 2);
    BOOST_TEST(
        (this->append(test_bundle(1, 0, two), {9}).verdict == bundle_verdict::too_few_signatures));
    BOOST_TEST(
        (this->append(test_bundle(1, 0, two), {}).verdict == bundle_verdict::too_few_signatures));
    BOOST_TEST((this->append(test_bundle(1, 0, two), {2}).verdict == bundle_verdict::accepted));
    const auto next = test_bundle(2, 1, two);
    BOOST_TEST((this->append(next, {1}).verdict == bundle_verdict::too_few_signatures));
    BOOST_TEST((this->append(next, {1, 9}).verdict == bundle_verdict::too_few_signatures));
    auto doubled = test_signed(next, {1});
    doubled.header.signatures.push_back(doubled.header.signatures.front());
    BOOST_TEST((this->append(test_record(doubled)).verdict == bundle_verdict::too_few_signatures));
    auto wrong = test_signed(next, {1, 3});
    wrong.header.signatures[1].signature = wrong.header.signatures[0].signature;
    BOOST_TEST((this->append(test_record(wrong)).verdict == bundle_verdict::too_few_signatures));
    const auto both = this->append(next, {1, 3});
    BOOST_TEST((both.verdict == bundle_verdict::accepted));
}

BOOST_FIXTURE_TEST_CASE(a_bundle_changes_who_signs_the_next_one, fold_fixture)
{
    const auto others = test_operators({5});
    BOOST_TEST((this->append(test_bundle(1, 0, others), {5}).verdict ==
                bundle_verdict::too_few_signatures));
    BOOST_TEST((this->append(test_bundle(1, 0, others), {1}).verdict == bundle_verdict::accepted));
    BOOST_TEST((this->append(test_bundle(2, 1, others), {1}).verdict ==
                bundle_verdict::too_few_signatures));
    BOOST_TEST((this->append(test_bundle(2, 1, others), {5}).verdict == bundle_verdict::accepted));
}

BOOST_FIXTURE_TEST_CASE(a_changed_record_is_malformed, fold_fixture)
{
    auto sealed = test_signed(test_bundle(1, 0, this->one), {1});
    const auto id = bundle_record_id(sealed);
    sealed.body.replace(sealed.body.find("service-a"), 9, "service-b");
    BOOST_TEST((this->append(test_record(sealed)).verdict == bundle_verdict::malformed));
    BOOST_TEST(
        (this->append({record_id{"other"}, "no json"}).verdict == bundle_verdict::malformed));
    // An id stands for one payload, or nodes that remember it and others would differ.
    const auto valid = test_signed(test_bundle(1, 0, this->one), {1});
    BOOST_TEST((this->append({record_id{"chosen"}, encode_record(valid)}).verdict ==
                bundle_verdict::malformed));
    BOOST_TEST(this->in_force() == 0U);
    BOOST_TEST((this->append({id, encode_record(sealed)}).verdict == bundle_verdict::malformed));
}

BOOST_FIXTURE_TEST_CASE(a_repeated_id_is_ignored_also_after_a_restart_from_a_checkpoint,
                        fold_fixture)
{
    const auto early = test_record(test_signed(test_bundle(2, 1, this->one, "b"), {1}));
    BOOST_TEST((this->append(early).verdict == bundle_verdict::not_in_force));
    bundle_fold restarted{this->one};
    restarted.adopt(this->fold.checkpoint()).value();
    this->publish(1, 0);
    restarted.apply(this->records.back());
    // Its append is repeated after the version that it replaces has come into force.
    BOOST_TEST((this->append(early).verdict == bundle_verdict::repeated));
    BOOST_TEST((restarted.apply(this->records.back()).verdict == bundle_verdict::repeated));
    BOOST_TEST(this->in_force() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_late_checkpoint_changes_nothing, fold_fixture)
{
    this->publish(1, 0);
    const auto old = this->fold.checkpoint();
    this->publish(2, 1);
    const auto decision = this->append({record_id{"checkpoint"}, encode_record(old)});
    BOOST_TEST((decision.verdict == bundle_verdict::checkpoint));
    BOOST_TEST(this->in_force() == 2U);
    BOOST_TEST((this->fold.adopt(old).error().code == errc::stale));
    // A node that starts from it comes to the same version all the same.
    bundle_fold fresh{this->one};
    fresh.adopt(old).value();
    fresh.apply(this->records[1]);
    fresh.apply(this->records[2]);
    BOOST_TEST(fresh.current()->version.value() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_checkpoint_leads_back_to_the_trusted_operators, fold_fixture)
{
    const auto others = test_operators({5, 6}, 2);
    this->append(test_bundle(1, 0, others), {1});
    this->append(test_bundle(2, 1, others, "b"), {5, 6});
    this->append(test_bundle(3, 2, this->one, "c"), {5, 6});
    this->append(test_bundle(4, 3, this->one, "d"), {2});
    BOOST_TEST(this->in_force() == 4U);
    const auto checkpoint = this->fold.checkpoint();
    BOOST_TEST(checkpoint.lineage.size() == 2U);
    const auto decoded = decode_record(encode_record(checkpoint));
    BOOST_REQUIRE(decoded);
    bundle_fold fresh{this->one};
    BOOST_TEST(!!fresh.adopt(std::get<bundle_checkpoint>(decoded.value())));
    BOOST_TEST(fresh.current()->version.value() == 4U);
    BOOST_TEST(fresh.next_offset().value() == 4U);

    bundle_fold stranger{test_operators({9})};
    BOOST_TEST((stranger.adopt(checkpoint).error().code == errc::unauthenticated));
    auto forged = checkpoint;
    forged.in_force = test_signed(test_bundle(5, 4, this->one, "e"), {9});
    BOOST_TEST((bundle_fold{this->one}.adopt(forged).error().code == errc::unauthenticated));
    forged.in_force = test_signed(test_bundle(3, 2, others, "forged"), {9});
    BOOST_TEST((bundle_fold{this->one}.adopt(forged).error().code == errc::unauthenticated));
}

BOOST_FIXTURE_TEST_CASE(an_unknown_schema_halts_only_if_the_operators_signed_it, fold_fixture)
{
    auto sealed = test_signed(test_bundle(1, 0, this->one), {});
    const std::string schema = "\"schema\":1";
    sealed.header.text.replace(sealed.header.text.find(schema), schema.size(), "\"schema\":2");
    add_signature(sealed, test_key(9)).value();
    BOOST_TEST((this->append(test_record(sealed)).verdict == bundle_verdict::too_few_signatures));
    BOOST_TEST(!this->fold.unsupported());
    add_signature(sealed, test_key(1)).value();
    BOOST_TEST((this->append(test_record(sealed)).verdict == bundle_verdict::unsupported));
    BOOST_TEST(this->fold.unsupported());
}

/// Appends a random record: a good one, a racing one, an early one, a repeat or a checkpoint.
static void append_random(fold_fixture& stream, std::vector<bundle_checkpoint>& checkpoints,
                          seeded_random& random)
{
    const auto in_force = stream.in_force();
    const auto replaces = in_force + random_below(random, 4) - std::min<std::uint64_t>(in_force, 2);
    const auto variant = std::to_string(random_below(random, 3));
    switch (random_below(random, 5)) {
    case 0:
        stream.append({record_id{"c" + std::to_string(stream.records.size())},
                       encode_record(checkpoints[random_below(random, checkpoints.size())])});
        break;
    case 1:
        if (!stream.records.empty()) {
            const auto again = stream.records[random_below(random, stream.records.size())];
            stream.append({again.id, again.payload});
            break;
        }
        [[fallthrough]];
    default:
        stream.publish(replaces + 1 + random_below(random, 2), replaces, variant);
    }
    checkpoints.push_back(stream.fold.checkpoint());
}

/// Folds the rest of the stream from `start` and compares each state with that of the whole fold.
static bool agrees(const fold_fixture& stream, const std::vector<bundle_checkpoint>& states,
                   const bundle_checkpoint& start)
{
    bundle_fold late{stream.one};
    late.adopt(start).value();
    while (late.next_offset().value() < stream.records.size()) {
        late.apply(stream.records[late.next_offset().value()]);
        const auto& expected = states[late.next_offset().value()];
        if (encode_record(late.checkpoint()) != encode_record(expected)) {
            return false;
        }
    }
    return true;
}

BOOST_AUTO_TEST_CASE(every_start_gives_the_same_state_at_every_offset)
{
    constexpr std::uint64_t seeds = 150;
    constexpr int steps = 25;
    std::size_t starts = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        seeded_random random{seed};
        fold_fixture stream;
        std::vector<bundle_checkpoint> states{stream.fold.checkpoint()};
        for (int step = 0; step < steps; ++step) {
            const auto before = stream.in_force();
            append_random(stream, states, random);
            BOOST_REQUIRE_MESSAGE(stream.in_force() >= before, "reverted with seed " << seed);
        }
        for (std::size_t index = 0; index < states.size(); index += 5) {
            BOOST_REQUIRE_MESSAGE(agrees(stream, states, states[index]),
                                  "seed " << seed << " start " << index);
            ++starts;
        }
    }
    BOOST_TEST_MESSAGE(starts << " starts compared");
}

} // namespace eelgrassbend
