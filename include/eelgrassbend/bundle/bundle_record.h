#ifndef EELGRASSBEND_BUNDLE_BUNDLE_RECORD_H
#define EELGRASSBEND_BUNDLE_BUNDLE_RECORD_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/signing.h"
#include "eelgrassbend/support/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassbend {

/// The schema of bundles that this build reads in full.
inline constexpr std::uint32_t bundle_schema = 1;
/// The longest payload of a record of the bundle stream.
inline constexpr std::size_t max_bundle_record_bytes = 4'000'000;

/// What decides about a bundle. Its form is the same in every schema.
struct bundle_header {
    std::uint32_t schema = bundle_schema;
    bundle_version version;
    bundle_version replaces;
    std::uint32_t required_signatures = 1;
    std::vector<operator_key> operators;
    std::string body_sha256;
};

struct bundle_signature {
    std::string public_key; ///< 64 hexadecimal digits
    std::string signature;  ///< of the header, 128 hexadecimal digits
};

/// The canonical text of a header with the signatures over it.
struct signed_header {
    std::string text;
    std::vector<bundle_signature> signatures;
};

struct signed_bundle {
    signed_header header;
    std::string body; ///< as of `encode_bundle`, for schema 1
};

/// The operators whose signatures count, and how many must sign.
struct operator_set {
    std::vector<operator_key> operators;
    std::uint32_t required_signatures = 1;
};

/// A record that was refused because it replaces a version that is not in force yet.
struct early_record {
    record_id id;
    bundle_version replaces;
};

/// The state of the fold before `next_offset`, from which a node may start.
struct bundle_checkpoint {
    log_offset next_offset;
    std::optional<signed_bundle> in_force; ///< none for version 0
    record_id accepted;                    ///< record of the version in force
    std::vector<signed_header> lineage;    ///< older versions that changed the operators
    std::vector<early_record> early;       ///< repeats of them stay refused
};

using bundle_record = std::variant<signed_bundle, bundle_checkpoint>;

/// The header text that operators sign.
std::string encode_bundle_header(const bundle& contents);
result<bundle_header> decode_bundle_header(std::string_view text);

signed_bundle make_signed_bundle(const bundle& contents);
/// Adds the signature of `key`, or replaces it.
result<void> add_signature(signed_bundle& target, const signing_key& key);
/// How many operators of `signers` have validly signed.
std::uint32_t count_signatures(const signed_header& header, const operator_set& signers);
/// The bundle, once its body agrees with its header; for schema 1 only.
result<bundle> open_signed_bundle(const signed_bundle& sealed);

std::string encode_record(const signed_bundle& sealed);
std::string encode_record(const bundle_checkpoint& checkpoint);
result<bundle_record> decode_record(std::string_view payload);

/// The same for the same signed bundle, so that a repeated publication is found again.
record_id bundle_record_id(const signed_bundle& sealed);

} // namespace eelgrassbend

#endif
