#include "eelgrassbend/peers/frame_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <set>

namespace eelgrassbend {

using namespace std::chrono_literals;

static constexpr std::size_t min_secret_bytes = 16;
static constexpr std::size_t mac_bytes = 16;
static constexpr std::size_t header_bytes = frame_authenticator::overhead_bytes - mac_bytes;
static constexpr char frame_version = 1;
// Maximum difference between the clocks of two hosts, including the transit time of a frame.
static constexpr duration time_window = 30s;
static constexpr std::size_t max_senders = 4'096;

namespace {

struct frame_header {
    std::uint32_t key = 0;
    std::uint64_t instance = 0;
    std::uint64_t time_ms = 0;
    std::uint64_t counter = 0;
};

} // namespace

template <typename Number>
static void append_integer(std::string& out, Number value)
{
    for (std::size_t shift = 0; shift < sizeof(Number) * 8; shift += 8) {
        out += static_cast<char>(value >> shift & 0xFF);
    }
}

template <typename Number>
static Number consume_integer(std::string_view& in)
{
    Number value = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        value |= static_cast<Number>(static_cast<unsigned char>(in[index])) << (index * 8);
    }
    in.remove_prefix(sizeof(Number));
    return value;
}

static std::string write_header(const frame_header& header)
{
    std::string out(1, frame_version);
    append_integer(out, header.key);
    append_integer(out, header.instance);
    append_integer(out, header.time_ms);
    append_integer(out, header.counter);
    return out;
}

static frame_header read_header(std::string_view frame)
{
    frame.remove_prefix(1);
    frame_header header;
    header.key = consume_integer<std::uint32_t>(frame);
    header.instance = consume_integer<std::uint64_t>(frame);
    header.time_ms = consume_integer<std::uint64_t>(frame);
    header.counter = consume_integer<std::uint64_t>(frame);
    return header;
}

static std::string compute_mac(const peer_key& key, std::string_view recipient,
                               std::string_view header, std::string_view message)
{
    std::string input;
    input.reserve(sizeof(std::uint32_t) + recipient.size() + header.size() + message.size());
    append_integer(input, static_cast<std::uint32_t>(recipient.size()));
    input += recipient;
    input += header;
    input += message;
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char*>(input.data()), input.size(), mac.data(), &length);
    return {reinterpret_cast<const char*>(mac.data()), mac_bytes};
}

static std::uint64_t to_milliseconds(wall_time time)
{
    return static_cast<std::uint64_t>(whole_milliseconds(time.time_since_epoch()));
}

static bool is_within_time_window(std::uint64_t time_ms, wall_time now)
{
    const auto window = static_cast<std::uint64_t>(whole_milliseconds(time_window));
    const auto now_ms = to_milliseconds(now);
    const auto distance = std::max(now_ms, time_ms) - std::min(now_ms, time_ms);
    return distance <= window;
}

result<void> peer_key_ring::replace(std::vector<peer_key> replacement, peer_key_id signing_id)
{
    std::set<peer_key_id> ids;
    for (const auto& key : replacement) {
        if (key.secret.size() < min_secret_bytes) {
            return make_error(errc::invalid_argument, "set peer keys", {},
                              "secret is shorter than 16 bytes");
        }
        if (!ids.insert(key.id).second) {
            return make_error(errc::invalid_argument, "set peer keys", {}, "duplicate key id");
        }
    }
    if (!ids.contains(signing_id)) {
        return make_error(errc::invalid_argument, "set peer keys", {},
                          "signing key is not among the keys");
    }
    this->keys = std::move(replacement);
    this->signing_id = signing_id;
    return boost::outcome_v2::success();
}

const peer_key* peer_key_ring::find(peer_key_id id) const
{
    const auto found =
        std::ranges::find_if(this->keys, [&](const peer_key& key) { return key.id == id; });
    return found == this->keys.end() ? nullptr : &*found;
}

const peer_key* peer_key_ring::signing_key() const
{
    return this->find(this->signing_id);
}

frame_authenticator::frame_authenticator(const peer_key_ring& keys, const clock_source& clock,
                                         random_source& random)
    : keys(keys), clock(clock), instance(random())
{
}

result<std::string> frame_authenticator::seal(std::string_view recipient, std::string_view message)
{
    const auto* key = this->keys.signing_key();
    if (key == nullptr) {
        return make_error(errc::unauthenticated, "seal frame", std::string{recipient}, "no key");
    }
    const frame_header header{key->id.value(), this->instance,
                              to_milliseconds(this->clock.wall_now()), ++this->counter};
    auto frame = write_header(header);
    frame += compute_mac(*key, recipient, frame, message);
    frame += message;
    return frame;
}

result<opened_frame> frame_authenticator::open(std::string_view recipient, std::string_view frame)
{
    if (frame.size() < overhead_bytes || frame.front() != frame_version) {
        return make_error(errc::invalid_argument, "open frame", {}, "not a frame of this version");
    }
    const auto header_text = frame.substr(0, header_bytes);
    const auto mac = frame.substr(header_bytes, mac_bytes);
    const auto message = frame.substr(overhead_bytes);
    const auto header = read_header(frame);
    const auto* key = this->keys.find(peer_key_id{header.key});
    if (key == nullptr) {
        return make_error(errc::unauthenticated, "open frame", {}, "unknown key");
    }
    const auto expected = compute_mac(*key, recipient, header_text, message);
    if (CRYPTO_memcmp(expected.data(), mac.data(), mac_bytes) != 0) {
        return make_error(errc::unauthenticated, "open frame", {}, "wrong MAC");
    }
    if (!is_within_time_window(header.time_ms, this->clock.wall_now())) {
        return make_error(errc::stale, "open frame", {}, "outside the time window");
    }
    if (auto fresh = this->check_replay(header.instance, header.counter); !fresh) {
        return fresh.error();
    }
    return opened_frame{std::string{message}, std::string{header_text}};
}

result<void> frame_authenticator::check_replay(std::uint64_t sender, std::uint64_t counter_value)
{
    if (!this->senders.contains(sender) && this->senders.size() >= max_senders) {
        this->remove_expired_senders();
    }
    if (!this->senders.contains(sender) && this->senders.size() >= max_senders) {
        return make_error(errc::unavailable, "open frame", {}, "too many senders");
    }
    auto& state = this->senders[sender];
    state.last_received = this->clock.wall_now();
    if (counter_value > state.highest_counter) {
        const auto shift =
            std::min<std::uint64_t>(counter_value - state.highest_counter, replay_window);
        state.received <<= shift;
        state.received.set(0);
        state.highest_counter = counter_value;
        return boost::outcome_v2::success();
    }
    const auto age = state.highest_counter - counter_value;
    if (age >= replay_window || state.received.test(age)) {
        return make_error(errc::conflict, "open frame", {}, "replayed");
    }
    state.received.set(age);
    return boost::outcome_v2::success();
}

// Frames of a sender that has sent nothing for twice the time window fail the time check, so its
// counters are not needed to detect replays.
void frame_authenticator::remove_expired_senders()
{
    const auto bound = this->clock.wall_now() - 2 * time_window;
    std::erase_if(this->senders,
                  [&](const auto& entry) { return entry.second.last_received < bound; });
}

} // namespace eelgrassbend
