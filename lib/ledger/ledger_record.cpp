#include "eelgrassbend/ledger/ledger_record.h"

#include "eelgrassbend/support/hex.h"

#include "ledger_codec.h"

namespace eelgrassbend {

static constexpr std::size_t digest_bytes = 32;

void write_line(const ledger_line& line, ledger_schema::Line::Builder out)
{
    out.setRequest(line.request.value());
    out.setAttempt(line.attempt.value());
    out.setOrganisation(line.organisation.value());
    out.setService(line.service.value());
    out.setEndpoint(line.endpoint.value());
    out.setVersion(line.version.value());
    out.setPromptTokens(line.prompt_tokens.value());
    out.setOutputTokens(line.output_tokens.value());
    out.setPrice(line.price.value());
    const auto& digits = line.answer_digest;
    const auto digest = from_hex(digits, digits.size() / 2).value_or(std::string{});
    out.setAnswerDigest(as_data(digest));
    out.setAcceptedAt(line.accepted_at.time_since_epoch().count());
}

result<ledger_line> read_line(ledger_schema::Line::Reader in)
{
    const auto digest = to_string(in.getAnswerDigest());
    if (in.getRequest().size() == 0 || (!digest.empty() && digest.size() != digest_bytes)) {
        return make_error(errc::invalid_argument, "decode ledger line", {}, "field out of bounds");
    }
    ledger_line line;
    line.request = request_id{to_string(in.getRequest())};
    line.attempt = attempt_id{to_string(in.getAttempt())};
    line.organisation = organisation_id{to_string(in.getOrganisation())};
    line.service = service_id{to_string(in.getService())};
    line.endpoint = endpoint_id{to_string(in.getEndpoint())};
    line.version = bundle_version{in.getVersion()};
    line.prompt_tokens = token_count{in.getPromptTokens()};
    line.output_tokens = token_count{in.getOutputTokens()};
    line.price = money{in.getPrice()};
    line.answer_digest = to_hex(digest);
    line.accepted_at = wall_time{duration{in.getAcceptedAt()}};
    return line;
}

std::string encode_ledger_line(const ledger_line& line)
{
    capnp::MallocMessageBuilder message;
    write_line(line, message.initRoot<ledger_schema::Line>());
    return to_bytes(message);
}

result<ledger_line> decode_ledger_line(std::string_view payload)
{
    return from_bytes<ledger_line, ledger_schema::Line>(payload, "decode ledger line", read_line);
}

void ledger_fold::add(const log_record& record)
{
    auto line = decode_ledger_line(record.payload);
    if (!line) {
        ++this->malformed;
        return;
    }
    const auto [position, added] =
        this->positions.try_emplace(line.value().request, this->kept.size());
    if (added) {
        this->kept.push_back(std::move(line).value());
        return;
    }
    const auto& first = this->kept[position->second];
    const bool same = encode_ledger_line(first) == encode_ledger_line(line.value());
    ++(same ? this->repeats : this->contradictions);
}

} // namespace eelgrassbend
