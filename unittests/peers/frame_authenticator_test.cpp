#include "eelgrassbend/peers/frame_authenticator.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using namespace std::chrono_literals;

namespace {

const peer_key old_key{peer_key_id{1}, "0123456789abcdef-old"};
const peer_key new_key{peer_key_id{2}, "0123456789abcdef-new"};

struct node_pair {
    virtual_scheduler time;
    seeded_random random{1};
    peer_key_ring sender_keys;
    peer_key_ring receiver_keys;
    frame_authenticator sender{sender_keys, time, random};
    frame_authenticator receiver{receiver_keys, time, random};

    node_pair()
    {
        this->sender_keys.replace({old_key}, old_key.id).value();
        this->receiver_keys.replace({old_key}, old_key.id).value();
    }

    errc open(const std::string& frame, const std::string& recipient = "b")
    {
        const auto opened = this->receiver.open(recipient, frame);
        return opened ? errc{} : static_cast<errc>(opened.error().code.value());
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_sealed_frame_is_opened_only_once_and_only_by_its_recipient)
{
    node_pair nodes;
    const auto frame = nodes.sender.seal("b", "hello").value();
    BOOST_TEST(frame.size() == 5 + frame_authenticator::overhead_bytes);
    BOOST_TEST((nodes.open(frame, "c") == errc::unauthenticated));
    BOOST_TEST(nodes.receiver.open("b", frame).value().bytes == "hello");
    BOOST_TEST((nodes.open(frame) == errc::conflict));
}

BOOST_AUTO_TEST_CASE(frames_with_a_changed_byte_are_rejected)
{
    node_pair nodes;
    const auto frame = nodes.sender.seal("b", "hello").value();
    for (std::size_t index = 0; index < frame.size(); ++index) {
        auto changed = frame;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        BOOST_TEST((nodes.open(changed) != errc{}));
        BOOST_TEST((nodes.open(frame.substr(0, index)) != errc{}));
    }
    BOOST_TEST((nodes.open(frame) == errc{}));
}

BOOST_AUTO_TEST_CASE(reordered_frames_are_accepted_replayed_and_late_ones_rejected)
{
    node_pair nodes;
    std::vector<std::string> frames;
    for (int index = 0; index < 600; ++index) {
        frames.push_back(nodes.sender.seal("b", "m").value());
    }
    BOOST_TEST((nodes.open(frames[599]) == errc{}));
    BOOST_TEST((nodes.open(frames[300]) == errc{}));
    BOOST_TEST((nodes.open(frames[300]) == errc::conflict));
    BOOST_TEST((nodes.open(frames[599]) == errc::conflict));
    BOOST_TEST((nodes.open(frames[10]) == errc::conflict));
    const auto delayed = nodes.sender.seal("b", "m").value();
    nodes.time.run_for(31s);
    BOOST_TEST((nodes.open(delayed) == errc::stale));
}

BOOST_AUTO_TEST_CASE(key_rotation_loses_no_frame)
{
    node_pair nodes;
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "1").value()) == errc{}));
    nodes.receiver_keys.replace({old_key, new_key}, old_key.id).value();
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "2").value()) == errc{}));
    nodes.sender_keys.replace({old_key, new_key}, new_key.id).value();
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "3").value()) == errc{}));
    nodes.receiver_keys.replace({new_key}, new_key.id).value();
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "4").value()) == errc{}));
    nodes.sender_keys.replace({old_key}, old_key.id).value();
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "5").value()) == errc::unauthenticated));
}

BOOST_AUTO_TEST_CASE(a_wrong_secret_with_a_known_key_id_is_rejected)
{
    node_pair nodes;
    nodes.sender_keys.replace({{old_key.id, "another-secret-of-length"}}, old_key.id).value();
    BOOST_TEST((nodes.open(nodes.sender.seal("b", "m").value()) == errc::unauthenticated));
}

BOOST_AUTO_TEST_CASE(an_invalid_replacement_leaves_the_key_ring_unchanged)
{
    peer_key_ring keys;
    BOOST_TEST(!keys.replace({old_key}, new_key.id).has_value());
    BOOST_TEST(!keys.replace({old_key, old_key}, old_key.id).has_value());
    BOOST_TEST(!keys.replace({{old_key.id, "short"}}, old_key.id).has_value());
    BOOST_TEST((keys.signing_key() == nullptr));
}

} // namespace eelgrassbend
