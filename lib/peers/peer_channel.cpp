#include "eelgrassbend/peers/peer_channel.h"

namespace eelgrassbend {

peer_channel::peer_channel(datagram_transport& transport, frame_authenticator& authenticator,
                           network_address own_address)
    : transport(transport), authenticator(authenticator), own_address(own_address.to_string())
{
    this->transport.set_receiver([this](const network_address& from, const std::string& bytes) {
        this->receive(from, bytes);
    });
}

peer_channel::~peer_channel()
{
    this->transport.set_receiver({});
}

void peer_channel::on_swim(swim_handler handler)
{
    this->handle_swim = std::move(handler);
}

void peer_channel::on_gossip(gossip_handler handler)
{
    this->handle_gossip = std::move(handler);
}

void peer_channel::send(const network_address& to, const peer_message& message)
{
    const auto encoded = encode_message(message);
    if (!encoded || encoded.value().size() > max_message_bytes) {
        ++this->counts.oversized;
        return;
    }
    auto frame = this->authenticator.seal(to.to_string(), encoded.value());
    if (!frame) {
        ++this->counts.unauthenticated;
        return;
    }
    ++this->counts.sent;
    this->counts.sent_bytes += frame.value().size();
    this->transport.send(to, std::move(frame.value()));
}

void peer_channel::receive(const network_address& from, const std::string& bytes)
{
    ++this->counts.received;
    this->counts.received_bytes += bytes.size();
    const auto opened = this->authenticator.open(this->own_address, bytes);
    if (!opened) {
        const auto is_replay = opened.error().code == make_error_code(errc::conflict) ||
                               opened.error().code == make_error_code(errc::stale);
        ++(is_replay ? this->counts.replayed : this->counts.unauthenticated);
        return;
    }
    const auto message = decode_message(opened.value().bytes);
    if (!message) {
        ++this->counts.malformed;
        return;
    }
    if (const auto* swim = std::get_if<swim_message>(&message.value())) {
        if (this->handle_swim) {
            this->handle_swim(from, *swim);
        }
        return;
    }
    if (this->handle_gossip) {
        this->handle_gossip(from, message.value());
    }
}

} // namespace eelgrassbend
