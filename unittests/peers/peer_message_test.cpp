#include "eelgrassbend/peers/peer_message.h"
#include "eelgrassbend/support/random_source.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace eelgrassbend {

static member sample_member(const std::string& name)
{
    return {node_id{name},
            (std::uint64_t{1'767'225'600'000} << 16U) + 3,
            member_state::suspect,
            region_name{"tz-north"},
            availability_zone{"arusha-a"},
            {"10.1.2.3", 8080},
            {"10.1.2.3", 8081},
            {"fe80::1", 8082},
            bundle_version{70'000}};
}

static swim_message sample_swim()
{
    swim_message message{sample_member("entry-1"),
                         probe_request{42, node_id{"entry-9"}, {"10.0.0.9", 8081}},
                         {},
                         {}};
    message.updates = {sample_member("entry-2"), sample_member("entry-3")};
    message.versions = {{17, bundle_version{69'999}}, {18, bundle_version{70'000}}};
    return message;
}

static std::vector<peer_message> samples()
{
    auto digest = sample_swim();
    digest.body = table_digest{std::vector<std::uint32_t>(64, 0xABCD1234), true};
    return {sample_swim(), digest, gossip_message{7, 250, "bundle", std::string(900, 'x')},
            gossip_digest{{1, 2, 3}}, gossip_request{{9}}};
}

BOOST_AUTO_TEST_CASE(a_swim_message_round_trips)
{
    const auto decoded = decode_message(encode_message(sample_swim()).value());
    const auto& message = std::get<swim_message>(decoded.value());
    BOOST_TEST(message.sender.id.value() == "entry-1");
    BOOST_TEST(message.sender.incarnation == sample_member("x").incarnation);
    BOOST_TEST((message.sender.state == member_state::suspect));
    BOOST_TEST(message.sender.datagrams.to_string() == "10.1.2.3:8081");
    BOOST_TEST(message.sender.calls.to_string() == "fe80::1:8082");
    BOOST_TEST(message.sender.bundle.value() == 70'000);
    BOOST_TEST(std::get<probe_request>(message.body).address.port == 8081);
    BOOST_TEST(message.updates.at(1).id.value() == "entry-3");
    BOOST_TEST(message.versions.at(0).version.value() == 69'999);
}

BOOST_AUTO_TEST_CASE(a_gossip_message_round_trips)
{
    const auto bytes =
        encode_message(gossip_message{7, 250, "bundle", std::string("a\0b", 3)}).value();
    const auto message = std::get<gossip_message>(decode_message(bytes).value());
    BOOST_TEST(message.id == 7);
    BOOST_TEST(message.age_ms == 250);
    BOOST_TEST(message.payload == std::string("a\0b", 3));
}

BOOST_AUTO_TEST_CASE(encoded_member_bytes_is_an_upper_bound)
{
    for (const auto* name : {"n", "entry-390", "a-name-of-some-length-0123456789"}) {
        auto record = sample_member(name);
        record.callers.ip = "255.254.253.252";
        swim_message message{record, {}, {}, {}};
        const auto before = encode_message(message).value().size();
        message.updates.assign(5, record);
        const auto after = encode_message(message).value().size();
        BOOST_TEST(after - before <= 5 * encoded_member_bytes(record));
    }
}

BOOST_AUTO_TEST_CASE(out_of_range_fields_are_rejected)
{
    BOOST_TEST(!encode_message(gossip_message{1, 0, "bundle", std::string(901, 'x')}).has_value());
    auto no_ip = sample_swim();
    no_ip.sender.callers.ip = "entry.example";
    BOOST_TEST(!encode_message(no_ip).has_value());
    auto no_name = sample_swim();
    no_name.sender.id = node_id{""};
    BOOST_TEST(!decode_message(encode_message(no_name).value()).has_value());
    auto long_name = sample_swim();
    long_name.sender.id = node_id{std::string(300, 'n')};
    BOOST_TEST(!decode_message(encode_message(long_name).value()).has_value());
    auto wrong_state = sample_swim();
    wrong_state.sender.state = static_cast<member_state>(4);
    BOOST_TEST(!decode_message(encode_message(wrong_state).value()).has_value());
    BOOST_TEST(!decode_message("").has_value());
}

BOOST_AUTO_TEST_CASE(errors_and_calls_round_trip)
{
    const result<std::string> failed =
        make_error(errc::stale, std::string(500, 's'), "entry-2", "too old");
    const auto answer = decode_answer(encode_answer(failed)).value();
    BOOST_TEST((answer.failure.code == make_error_code(errc::stale)));
    BOOST_TEST(answer.failure.detail == "too old");
    const auto call = decode_call(encode_call({5, std::string(100'000, 'b')})).value();
    BOOST_TEST(call.method == 5);
    BOOST_TEST(call.body.size() == 100'000);
}

// Replaces, flips, erases or inserts bytes at a few random positions.
static std::string mutate(std::string bytes, random_source& random)
{
    const auto edits = 1 + random_below(random, 6);
    for (std::uint64_t edit = 0; edit < edits && !bytes.empty(); ++edit) {
        const auto at = random_below(random, bytes.size());
        switch (random_below(random, 4)) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes[at] =
                static_cast<char>(bytes[at] ^ static_cast<char>(1U << random_below(random, 8)));
            break;
        case 2:
            bytes.erase(at, 1 + random_below(random, 16));
            break;
        default:
            bytes.insert(at, 1 + random_below(random, 16), static_cast<char>(random()));
        }
    }
    return bytes;
}

BOOST_AUTO_TEST_CASE(mutated_messages_never_crash_a_decoder)
{
    static constexpr int rounds = 40'000;
    seeded_random random{20'260'101};
    std::vector<std::string> seeds;
    for (const auto& message : samples()) {
        seeds.push_back(encode_message(message).value());
    }
    seeds.push_back(encode_call({5, "body"}));
    seeds.push_back(encode_answer(std::string{"body"}));
    seeds.push_back(encode_answer(make_error(errc::conflict, "step", "peer", "detail")));
    int rejected = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto bytes = mutate(seeds[random_below(random, seeds.size())], random);
        const auto message = decode_message(bytes);
        rejected += message ? 0 : 1;
        if (message) {
            BOOST_TEST_REQUIRE(encode_message(message.value()).has_value());
        }
        static_cast<void>(decode_call(bytes));
        static_cast<void>(decode_answer(bytes));
    }
    BOOST_TEST(rejected > rounds / 10);
    BOOST_TEST(rejected < rounds);
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash_a_decoder)
{
    seeded_random random{7};
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes(random_below(random, 200), '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random());
        }
        static_cast<void>(decode_message(bytes));
        static_cast<void>(decode_call(bytes));
        static_cast<void>(decode_answer(bytes));
    }
    BOOST_TEST(!decode_message(std::string(64, '\xFF')).has_value());
}

} // namespace eelgrassbend
