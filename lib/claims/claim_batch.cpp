#include "claim_batch.h"

#include "claim_codec.h"

#include <utility>

namespace eelgrassbend {

std::string encode_claim_batch(const claim_batch& batch)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<claims_schema::BatchRequest>();
    out.setPartition(batch.partition);
    auto list = out.initRecords(static_cast<unsigned>(batch.records.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        const auto payload = encode_claim_record(batch.records[index]);
        list[index].setPayload(as_data(payload));
    }
    return to_bytes(message);
}

result<claim_batch> decode_claim_batch(std::string_view bytes)
{
    return from_bytes<claim_batch, claims_schema::BatchRequest>(
        bytes, "decode claim batch",
        [](claims_schema::BatchRequest::Reader in) -> result<claim_batch> {
            claim_batch batch;
            batch.partition = in.getPartition();
            for (const auto entry : in.getRecords()) {
                auto record = decode_claim_record(to_string(entry.getPayload()));
                if (!record) {
                    return record.error();
                }
                batch.records.push_back(std::move(record).value());
            }
            return batch;
        });
}

static void write_verdict(const record_verdict& verdict, claims_schema::Verdict::Builder out)
{
    out.setKind(static_cast<claims_schema::Verdict::Kind>(verdict.kind));
    if (verdict.kind != verdict_kind::held) {
        return;
    }
    out.setHolder(verdict.holder.request.value());
    out.setHolderNode(verdict.holder.node.value());
    out.setHeldSince(verdict.holder.since.time_since_epoch().count());
    out.setEnded(static_cast<claims_schema::Verdict::Ended>(verdict.holder.end));
    if (verdict.holder.end == claim_end::finished) {
        write_outcome(verdict.holder.outcome, out.initOutcome());
    }
}

std::string encode_verdicts(const std::vector<record_verdict>& verdicts)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<claims_schema::BatchAnswer>().initVerdicts(
        static_cast<unsigned>(verdicts.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        write_verdict(verdicts[index], list[index]);
    }
    return to_bytes(message);
}

static result<record_verdict> read_verdict(claims_schema::Verdict::Reader in)
{
    record_verdict verdict;
    verdict.kind = static_cast<verdict_kind>(in.getKind());
    verdict.holder.end = static_cast<claim_end>(in.getEnded());
    if (verdict.kind > verdict_kind::overused || verdict.holder.end > claim_end::abandoned) {
        return make_error(errc::invalid_argument, "decode claim verdicts", {}, "unknown kind");
    }
    verdict.holder.request = request_id{to_string(in.getHolder())};
    verdict.holder.node = node_id{to_string(in.getHolderNode())};
    verdict.holder.since = wall_time{duration{in.getHeldSince()}};
    if (verdict.holder.end == claim_end::finished) {
        verdict.holder.outcome = read_outcome(in.getOutcome());
    }
    return verdict;
}

result<std::vector<record_verdict>> decode_verdicts(std::string_view bytes)
{
    using verdict_list = std::vector<record_verdict>;
    return from_bytes<verdict_list, claims_schema::BatchAnswer>(
        bytes, "decode claim verdicts",
        [](claims_schema::BatchAnswer::Reader in) -> result<verdict_list> {
            verdict_list verdicts;
            for (const auto entry : in.getVerdicts()) {
                auto verdict = read_verdict(entry);
                if (!verdict) {
                    return verdict.error();
                }
                verdicts.push_back(std::move(verdict).value());
            }
            return verdicts;
        });
}

} // namespace eelgrassbend
