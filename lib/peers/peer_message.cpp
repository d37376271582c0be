#include "eelgrassbend/peers/peer_message.h"

#include "wire_codec.h"

#include <algorithm>
#include <limits>

namespace eelgrassbend {

// Upper bound of the words, pointers and tags of a packed member, without its texts.
static constexpr std::size_t member_base_bytes = 88;

static result<void> write_swim(const swim_message& message, wire::Swim::Builder out);
static result<swim_message> read_swim(wire::Swim::Reader in);

static error malformed_message_error(std::string detail)
{
    return make_error(errc::invalid_argument, "decode peer message", {}, std::move(detail));
}

std::size_t encoded_member_bytes(const member& record)
{
    // The packed encoding adds one tag byte to every eight non-zero bytes.
    const auto text_bytes = record.id.value().size() + record.region.value().size() +
                            record.zone.value().size() + record.callers.ip.size() +
                            record.datagrams.ip.size() + record.calls.ip.size();
    return member_base_bytes + text_bytes + text_bytes / 8;
}

static result<void> write_member(const member& record, wire::Member::Builder out)
{
    out.setName(record.id.value());
    out.setIncarnation(record.incarnation);
    out.setState(static_cast<std::uint16_t>(record.state));
    out.setRegion(record.region.value());
    out.setZone(record.zone.value());
    out.setBundle(record.bundle.value());
    if (auto done = wire_codec::write_address(record.callers, out.initCallers()); !done) {
        return done;
    }
    auto datagrams = out.initDatagrams();
    datagrams.setPort(record.datagrams.port);
    if (record.datagrams.ip != record.callers.ip) {
        if (auto done = wire_codec::write_address(record.datagrams, datagrams); !done) {
            return done;
        }
    }
    auto calls = out.initCalls();
    calls.setPort(record.calls.port);
    if (record.calls.ip != record.callers.ip) {
        return wire_codec::write_address(record.calls, calls);
    }
    return boost::outcome_v2::success();
}

static result<network_address> read_address_with_default_ip(wire::Address::Reader in,
                                                            const network_address& callers)
{
    if (in.getIp().size() == 0) {
        return network_address{callers.ip, in.getPort()};
    }
    return wire_codec::read_address(in);
}

static result<member> read_member(wire::Member::Reader in)
{
    if (in.getState() > static_cast<std::uint16_t>(member_state::dead)) {
        return malformed_message_error("unknown member state");
    }
    auto callers = wire_codec::read_address(in.getCallers());
    if (!callers) {
        return callers.error();
    }
    auto datagrams = read_address_with_default_ip(in.getDatagrams(), callers.value());
    auto calls = read_address_with_default_ip(in.getCalls(), callers.value());
    if (!datagrams || !calls) {
        return malformed_message_error("address has no IP address");
    }
    member record;
    record.id = node_id{wire_codec::read_text(in.getName())};
    record.incarnation = in.getIncarnation();
    record.state = static_cast<member_state>(in.getState());
    record.region = region_name{wire_codec::read_text(in.getRegion())};
    record.zone = availability_zone{wire_codec::read_text(in.getZone())};
    record.callers = callers.value();
    record.datagrams = datagrams.value();
    record.calls = calls.value();
    record.bundle = bundle_version{in.getBundle()};
    if (record.id.value().empty()) {
        return malformed_message_error("member has no name");
    }
    return record;
}

static void write_versions(const std::vector<version_sample>& samples,
                           wire::VersionSample::Builder out)
{
    bundle_version base;
    for (const auto& sample : samples) {
        base = std::max(base, sample.version);
    }
    std::vector<version_sample> encodable;
    for (const auto& sample : samples) {
        if (base.value() - sample.version.value() <= std::numeric_limits<std::uint32_t>::max()) {
            encodable.push_back(sample);
        }
    }
    const auto count = static_cast<unsigned int>(encodable.size());
    out.setBase(base.value());
    auto keys = out.initKeys(count);
    auto behind = out.initBehind(count);
    for (unsigned int index = 0; index < count; ++index) {
        keys.set(index, encodable[index].key);
        behind.set(index,
                   static_cast<std::uint32_t>(base.value() - encodable[index].version.value()));
    }
}

static result<std::vector<version_sample>> read_versions(wire::VersionSample::Reader in)
{
    const auto keys = in.getKeys();
    const auto behind = in.getBehind();
    if (keys.size() != behind.size() || keys.size() > wire_codec::max_list_length) {
        return malformed_message_error("version sample has lists of different lengths");
    }
    std::vector<version_sample> samples;
    for (unsigned int index = 0; index < keys.size(); ++index) {
        if (behind[index] > in.getBase()) {
            return malformed_message_error("version is negative");
        }
        samples.push_back({keys[index], bundle_version{in.getBase() - behind[index]}});
    }
    return samples;
}

namespace {

/// Writes the body of a swim message.
struct body_writer {
    wire::Swim::Body::Builder out;

    result<void> operator()(const no_body& /*body*/)
    {
        this->out.setUpdatesOnly();
        return boost::outcome_v2::success();
    }

    result<void> operator()(const probe& body)
    {
        this->out.setProbe(body.nonce);
        return boost::outcome_v2::success();
    }

    result<void> operator()(const probe_ack& body)
    {
        this->out.setAck(body.nonce);
        return boost::outcome_v2::success();
    }

    result<void> operator()(const probe_request& body)
    {
        auto request = this->out.initProbeRequest();
        request.setNonce(body.nonce);
        request.setTarget(body.target.value());
        return wire_codec::write_address(body.address, request.initAddress());
    }

    result<void> operator()(const relayed_ack& body)
    {
        auto relayed = this->out.initRelayedAck();
        relayed.setNonce(body.nonce);
        relayed.setTarget(body.target.value());
        return boost::outcome_v2::success();
    }

    result<void> operator()(const table_digest& body)
    {
        auto digest = this->out.initDigest();
        digest.setAnswer(body.is_answer);
        wire_codec::write_numbers(body.buckets,
                                  digest.initBuckets(wire_codec::list_length(body.buckets)));
        return boost::outcome_v2::success();
    }
};

/// Writes a message of any kind.
struct message_writer {
    wire::Datagram::Builder out;

    result<void> operator()(const swim_message& message)
    {
        return write_swim(message, this->out.initSwim());
    }

    result<void> operator()(const gossip_message& message)
    {
        if (message.payload.size() > max_gossip_payload_bytes ||
            message.topic.size() > max_topic_bytes) {
            return make_error(errc::invalid_argument, "encode gossip message", {},
                              "topic or payload is too long");
        }
        auto body = this->out.initRumour();
        body.setId(message.id);
        body.setAgeMs(message.age_ms);
        body.setTopic(message.topic);
        body.setPayload(wire_codec::as_data(message.payload));
        return boost::outcome_v2::success();
    }

    result<void> operator()(const gossip_digest& message)
    {
        wire_codec::write_numbers(message.ids,
                                  this->out.initRumourDigest(wire_codec::list_length(message.ids)));
        return boost::outcome_v2::success();
    }

    result<void> operator()(const gossip_request& message)
    {
        wire_codec::write_numbers(
            message.ids, this->out.initRumourRequest(wire_codec::list_length(message.ids)));
        return boost::outcome_v2::success();
    }
};

} // namespace

static result<void> write_swim(const swim_message& message, wire::Swim::Builder out)
{
    if (auto done = write_member(message.sender, out.initSender()); !done) {
        return done;
    }
    if (auto done = std::visit(body_writer{out.getBody()}, message.body); !done) {
        return done;
    }
    if (!message.updates.empty()) {
        auto updates = out.initUpdates(wire_codec::list_length(message.updates));
        for (unsigned int index = 0; index < updates.size(); ++index) {
            if (auto done = write_member(message.updates[index], updates[index]); !done) {
                return done;
            }
        }
    }
    if (!message.versions.empty()) {
        write_versions(message.versions, out.initVersions());
    }
    return boost::outcome_v2::success();
}

static result<void> read_body(wire::Swim::Body::Reader in, swim_message& message)
{
    switch (in.which()) {
    case wire::Swim::Body::UPDATES_ONLY:
        message.body = no_body{};
        return boost::outcome_v2::success();
    case wire::Swim::Body::PROBE:
        message.body = probe{in.getProbe()};
        return boost::outcome_v2::success();
    case wire::Swim::Body::ACK:
        message.body = probe_ack{in.getAck()};
        return boost::outcome_v2::success();
    case wire::Swim::Body::PROBE_REQUEST: {
        const auto request = in.getProbeRequest();
        auto address = wire_codec::read_address(request.getAddress());
        if (!address) {
            return address.error();
        }
        message.body =
            probe_request{request.getNonce(), node_id{wire_codec::read_text(request.getTarget())},
                          address.value()};
        return boost::outcome_v2::success();
    }
    case wire::Swim::Body::RELAYED_ACK: {
        const auto relayed = in.getRelayedAck();
        message.body =
            relayed_ack{relayed.getNonce(), node_id{wire_codec::read_text(relayed.getTarget())}};
        return boost::outcome_v2::success();
    }
    case wire::Swim::Body::DIGEST: {
        const auto digest = in.getDigest();
        message.body = table_digest{wire_codec::read_numbers<std::uint32_t>(digest.getBuckets()),
                                    digest.getAnswer()};
        return boost::outcome_v2::success();
    }
    }
    return malformed_message_error("unknown body");
}

static result<swim_message> read_swim(wire::Swim::Reader in)
{
    swim_message message;
    auto sender = read_member(in.getSender());
    if (!sender) {
        return sender.error();
    }
    message.sender = std::move(sender.value());
    if (auto done = read_body(in.getBody(), message); !done) {
        return done.error();
    }
    const auto updates = in.getUpdates();
    if (updates.size() > wire_codec::max_list_length) {
        return malformed_message_error("too many updates");
    }
    for (const auto update : updates) {
        auto record = read_member(update);
        if (!record) {
            return record.error();
        }
        message.updates.push_back(std::move(record.value()));
    }
    auto versions = read_versions(in.getVersions());
    if (!versions) {
        return versions.error();
    }
    message.versions = std::move(versions.value());
    return message;
}

static result<peer_message> read_gossip(wire::Rumour::Reader in)
{
    const auto payload = in.getPayload();
    if (payload.size() > max_gossip_payload_bytes || in.getTopic().size() > max_topic_bytes) {
        return malformed_message_error("gossip message is too long");
    }
    return peer_message{gossip_message{in.getId(), in.getAgeMs(),
                                       wire_codec::read_text(in.getTopic()),
                                       wire_codec::read_data(payload)}};
}

static result<peer_message> read_message(wire::Datagram::Reader in)
{
    switch (in.which()) {
    case wire::Datagram::SWIM: {
        auto message = read_swim(in.getSwim());
        if (!message) {
            return message.error();
        }
        return peer_message{std::move(message.value())};
    }
    case wire::Datagram::RUMOUR:
        return read_gossip(in.getRumour());
    case wire::Datagram::RUMOUR_DIGEST:
        return peer_message{
            gossip_digest{wire_codec::read_numbers<std::uint64_t>(in.getRumourDigest())}};
    case wire::Datagram::RUMOUR_REQUEST:
        return peer_message{
            gossip_request{wire_codec::read_numbers<std::uint64_t>(in.getRumourRequest())}};
    }
    return malformed_message_error("unknown message");
}

result<std::string> encode_message(const peer_message& message)
{
    capnp::MallocMessageBuilder builder;
    const auto done = std::visit(message_writer{builder.initRoot<wire::Datagram>()}, message);
    if (!done) {
        return done.error();
    }
    return wire_codec::pack(builder);
}

result<peer_message> decode_message(std::string_view bytes)
{
    return wire_codec::unpack<wire::Datagram, peer_message>(
        bytes, wire_codec::datagram_traversal_words, read_message);
}

} // namespace eelgrassbend
