#include "eelgrassbend/bundle/bundle_record.h"

#include "bundle_reader.h"

#include "eelgrassbend/bundle/bundle_codec.h"
#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <limits>
#include <set>

namespace eelgrassbend {

/// Keeps a signature of a header from being taken for one of anything else.
static constexpr std::string_view signature_context = "eelgrassbend bundle header\n";
static constexpr std::size_t max_signatures = 64;
static constexpr std::size_t max_lineage = 4'096;
static constexpr std::size_t max_early_records = 256;
static constexpr std::size_t record_id_digits = 32;
static constexpr std::int64_t max_offset = std::numeric_limits<std::int64_t>::max();

static nlohmann::json encode_operators(const std::vector<operator_key>& operators)
{
    auto values = nlohmann::json::array();
    for (const auto& key : operators) {
        values.push_back({{"name", key.name}, {"public_key", key.public_key}});
    }
    return values;
}

static std::string make_header(const bundle& contents, const std::string& body)
{
    const nlohmann::json values{
        {"schema", bundle_schema},
        {"version", contents.version.value()},
        {"replaces", contents.replaces.value()},
        {"required_signatures", contents.required_signatures},
        {"operators", encode_operators(contents.operators)},
        {"body_sha256", sha256_hex(body)},
    };
    return values.dump();
}

std::string encode_bundle_header(const bundle& contents)
{
    return make_header(contents, encode_bundle(contents));
}

static result<document> parse_json(std::string_view text, const std::string& step)
{
    document source;
    source.values = nlohmann::json::parse(text, nullptr, false);
    if (source.values.is_discarded()) {
        return make_error(errc::invalid_argument, step, {}, "not JSON");
    }
    return source;
}

static bundle_header read_header(table_reader& root)
{
    bundle_header header;
    header.schema =
        static_cast<std::uint32_t>(root.integer("schema", 1, std::numeric_limits<int>::max()));
    const auto version = root.integer("version", 1, max_bundle_version);
    const auto replaces = root.integer("replaces", 0, max_bundle_version);
    header.version = bundle_version{static_cast<std::uint64_t>(version)};
    header.replaces = bundle_version{static_cast<std::uint64_t>(replaces)};
    header.required_signatures =
        static_cast<std::uint32_t>(root.integer("required_signatures", 1, max_operators));
    header.operators = read_operators(root, header.required_signatures);
    // Without operators nobody could ever sign a later version.
    if (header.operators.empty()) {
        root.fail("operators", "must have at least one operator");
    }
    header.body_sha256 = root.text("body_sha256");
    return header;
}

result<bundle_header> decode_bundle_header(std::string_view text)
{
    const auto source = parse_json(text, "read bundle header");
    if (!source) {
        return source.error();
    }
    document_errors errors{source.value()};
    table_reader root{source.value().values, {}, errors};
    auto header = read_header(root);
    root.finish();
    if (errors.first()) {
        return *errors.first();
    }
    return header;
}

signed_bundle make_signed_bundle(const bundle& contents)
{
    signed_bundle sealed;
    sealed.body = encode_bundle(contents);
    sealed.header.text = make_header(contents, sealed.body);
    return sealed;
}

static std::string signed_message(const std::string& header)
{
    return std::string{signature_context} + header;
}

result<void> add_signature(signed_bundle& target, const signing_key& key)
{
    auto signature = sign_message(key, signed_message(target.header.text));
    if (!signature) {
        return signature.error();
    }
    auto& signatures = target.header.signatures;
    std::erase_if(signatures,
                  [&](const auto& other) { return other.public_key == key.public_key; });
    signatures.push_back({key.public_key, signature.value()});
    // One order, whoever signed first: the record id is made from the signatures too.
    std::sort(signatures.begin(), signatures.end(), [](const auto& left, const auto& right) {
        return left.public_key < right.public_key;
    });
    return boost::outcome_v2::success();
}

std::uint32_t count_signatures(const signed_header& header, const operator_set& signers)
{
    const auto message = signed_message(header.text);
    std::set<std::string> valid;
    for (const auto& signature : header.signatures) {
        const bool known =
            std::any_of(signers.operators.begin(), signers.operators.end(),
                        [&](const auto& key) { return key.public_key == signature.public_key; });
        if (known && !valid.contains(signature.public_key) &&
            verify_signature(signature.public_key, message, signature.signature)) {
            valid.insert(signature.public_key);
        }
    }
    return static_cast<std::uint32_t>(valid.size());
}

result<bundle> open_signed_bundle(const signed_bundle& sealed)
{
    auto contents = decode_bundle(sealed.body);
    if (contents && make_header(contents.value(), sealed.body) != sealed.header.text) {
        return make_error(errc::invalid_argument, "read bundle", {},
                          "the header does not belong to the body");
    }
    return contents;
}

static nlohmann::json encode_signed_header(const signed_header& header)
{
    auto signatures = nlohmann::json::array();
    for (const auto& signature : header.signatures) {
        signatures.push_back({{"key", signature.public_key}, {"signature", signature.signature}});
    }
    return {{"header", header.text}, {"signatures", std::move(signatures)}};
}

static nlohmann::json encode_signed_bundle(const signed_bundle& sealed)
{
    auto values = encode_signed_header(sealed.header);
    values["body"] = sealed.body;
    return values;
}

std::string encode_record(const signed_bundle& sealed)
{
    return nlohmann::json{{"bundle", encode_signed_bundle(sealed)}}.dump();
}

std::string encode_record(const bundle_checkpoint& checkpoint)
{
    auto lineage = nlohmann::json::array();
    for (const auto& header : checkpoint.lineage) {
        lineage.push_back(encode_signed_header(header));
    }
    auto early = nlohmann::json::array();
    for (const auto& record : checkpoint.early) {
        early.push_back({{"id", record.id.value()}, {"replaces", record.replaces.value()}});
    }
    nlohmann::json values{
        {"next_offset", checkpoint.next_offset.value()},
        {"accepted", checkpoint.accepted.value()},
        {"lineage", std::move(lineage)},
        {"early", std::move(early)},
    };
    if (checkpoint.in_force) {
        values["in_force"] = encode_signed_bundle(*checkpoint.in_force);
    }
    return nlohmann::json{{"checkpoint", std::move(values)}}.dump();
}

static signed_header read_signed_header(table_reader& table)
{
    signed_header header;
    header.text = table.text("header");
    table.tables("signatures", max_signatures, [&](table_reader& item) {
        header.signatures.push_back({item.text("key"), item.text("signature")});
    });
    return header;
}

static signed_bundle read_signed_bundle(table_reader& table)
{
    signed_bundle sealed;
    sealed.header = read_signed_header(table);
    sealed.body = table.text("body");
    return sealed;
}

static bundle_checkpoint read_checkpoint(table_reader& table)
{
    bundle_checkpoint checkpoint;
    checkpoint.next_offset =
        log_offset{static_cast<std::uint64_t>(table.integer("next_offset", 0, max_offset))};
    checkpoint.accepted = record_id{table.text("accepted")};
    table.tables("lineage", max_lineage, [&](table_reader& item) {
        checkpoint.lineage.push_back(read_signed_header(item));
    });
    table.tables("early", max_early_records, [&](table_reader& item) {
        const auto replaces = item.integer("replaces", 0, max_bundle_version);
        checkpoint.early.push_back(
            {record_id{item.text("id")}, bundle_version{static_cast<std::uint64_t>(replaces)}});
    });
    if (table.has("in_force")) {
        table.table("in_force",
                    [&](table_reader& item) { checkpoint.in_force = read_signed_bundle(item); });
    }
    return checkpoint;
}

result<bundle_record> decode_record(std::string_view payload)
{
    if (payload.size() > max_bundle_record_bytes) {
        return make_error(errc::invalid_argument, "read bundle record", {}, "too long");
    }
    const auto source = parse_json(payload, "read bundle record");
    if (!source) {
        return source.error();
    }
    document_errors errors{source.value()};
    table_reader root{source.value().values, {}, errors};
    bundle_record record;
    if (root.has("checkpoint")) {
        root.table("checkpoint", [&](table_reader& table) { record = read_checkpoint(table); });
    }
    else {
        root.table("bundle", [&](table_reader& table) { record = read_signed_bundle(table); });
    }
    root.finish();
    if (errors.first()) {
        return *errors.first();
    }
    return record;
}

record_id bundle_record_id(const signed_bundle& sealed)
{
    return record_id{"bundle-" + sha256_hex(encode_record(sealed)).substr(0, record_id_digits)};
}

} // namespace eelgrassbend
