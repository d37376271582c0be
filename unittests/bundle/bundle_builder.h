#ifndef EELGRASSBEND_UNITTESTS_BUNDLE_BUNDLE_BUILDER_H
#define EELGRASSBEND_UNITTESTS_BUNDLE_BUNDLE_BUILDER_H

#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/platform/log_client.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// The key pair of test operator `number`.
inline signing_key test_key(unsigned number)
{
    std::string secret(64, '0');
    secret[0] = "0123456789abcdef"[number % 16];
    secret[1] = "0123456789abcdef"[number / 16];
    return load_signing_key(secret).value();
}

inline operator_set test_operators(const std::vector<unsigned>& numbers, std::uint32_t required = 1)
{
    operator_set signers;
    for (const auto number : numbers) {
        signers.operators.push_back(
            {"operator-" + std::to_string(number), test_key(number).public_key});
    }
    signers.required_signatures = required;
    return signers;
}

/// A small valid bundle; `variant` makes two of the same version differ.
inline bundle test_bundle(std::uint64_t version, std::uint64_t replaces,
                          const operator_set& signers, const std::string& variant = "a")
{
    bundle contents;
    contents.version = bundle_version{version};
    contents.replaces = bundle_version{replaces};
    contents.operators = signers.operators;
    contents.required_signatures = signers.required_signatures;
    service_spec service;
    service.id = service_id{"service-" + variant};
    service.model = model_id{"model"};
    service.routing_policy = "predictive";
    service.request_deadline = std::chrono::seconds{10};
    contents.services.push_back(std::move(service));
    return contents;
}

inline signed_bundle test_signed(const bundle& contents, const std::vector<unsigned>& signers)
{
    auto sealed = make_signed_bundle(contents);
    for (const auto number : signers) {
        add_signature(sealed, test_key(number)).value();
    }
    return sealed;
}

inline new_log_record test_record(const signed_bundle& sealed)
{
    return {bundle_record_id(sealed), encode_record(sealed)};
}

} // namespace eelgrassbend

#endif
