#include "eelgrassbend/claims/claim_record.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/uuid.h"

#include "claim_codec.h"

#include <algorithm>
#include <cctype>

namespace eelgrassbend {

result<claim_key> make_claim_key(const std::string& scope, const idempotency_key& key)
{
    const auto time = uuid_v7_time(key.value());
    if (!time) {
        return time.error();
    }
    auto text = key.value();
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return claim_key{std::move(text), stable_hash(scope)};
}

std::uint32_t claim_partition_of(const claim_key& key, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(stable_hash(key.uuid, key.scope) % partitions);
}

stream_name claim_stream(std::uint32_t partition)
{
    return stream_name{"claims-" + std::to_string(partition)};
}

static const char* suffix(claim_record_kind kind)
{
    switch (kind) {
    case claim_record_kind::marker:
        return "/marker";
    case claim_record_kind::claim:
        return "/claim";
    case claim_record_kind::released:
        return "/released";
    case claim_record_kind::finished:
        return "/finished";
    case claim_record_kind::abandoned:
        return "/abandoned";
    }
    return "/unknown";
}

record_id id_of(claim_record_kind kind, const request_id& request)
{
    return record_id{request.value() + suffix(kind)};
}

void write_outcome(const recorded_outcome& outcome, claims_schema::Outcome::Builder out)
{
    out.setStatus(outcome.status);
    out.setContentType(outcome.content_type);
    out.setBody(as_data(outcome.body));
    out.setDigest(outcome.digest);
}

recorded_outcome read_outcome(claims_schema::Outcome::Reader in)
{
    return {in.getStatus(), to_string(in.getContentType()), to_string(in.getBody()),
            to_string(in.getDigest())};
}

std::string encode_claim_record(const claim_record& record)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<claims_schema::Record>();
    out.setKind(static_cast<claims_schema::Record::Kind>(record.kind));
    out.setScope(record.key.scope);
    out.setKey(record.key.uuid);
    out.setRequest(record.request.value());
    out.setNode(record.node.value());
    if (record.kind == claim_record_kind::finished) {
        write_outcome(record.outcome, out.initOutcome());
    }
    return to_bytes(message);
}

static result<claim_record> read_record(claims_schema::Record::Reader in)
{
    const auto kind = static_cast<claim_record_kind>(in.getKind());
    if (kind > claim_record_kind::abandoned) {
        return make_error(errc::invalid_argument, "decode claim record", {}, "unknown kind");
    }
    claim_record record;
    record.kind = kind;
    record.key = {to_string(in.getKey()), in.getScope()};
    record.request = request_id{to_string(in.getRequest())};
    record.node = node_id{to_string(in.getNode())};
    if (kind == claim_record_kind::marker) {
        return record;
    }
    if (record.request.value().empty() || !uuid_v7_time(record.key.uuid)) {
        return make_error(errc::invalid_argument, "decode claim record", {}, "no request or key");
    }
    if (kind == claim_record_kind::finished) {
        record.outcome = read_outcome(in.getOutcome());
    }
    return record;
}

result<claim_record> decode_claim_record(std::string_view payload)
{
    return from_bytes<claim_record, claims_schema::Record>(payload, "decode claim record",
                                                           read_record);
}

} // namespace eelgrassbend
