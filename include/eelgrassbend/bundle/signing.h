#ifndef EELGRASSBEND_BUNDLE_SIGNING_H
#define EELGRASSBEND_BUNDLE_SIGNING_H

#include "eelgrassbend/support/error.h"

#include <string>
#include <string_view>

namespace eelgrassbend {

/// An Ed25519 key pair of an operator.
struct signing_key {
    std::string secret_key; ///< 32 bytes in hexadecimal
    std::string public_key; ///< 32 bytes in hexadecimal
};

result<signing_key> generate_signing_key();

/// The pair that belongs to a secret key of 64 hexadecimal digits.
result<signing_key> load_signing_key(std::string_view secret_key);

/// The signature of `message`, 128 hexadecimal digits; the same for the same input.
result<std::string> sign_message(const signing_key& key, std::string_view message);

/// False also if the key or the signature is malformed.
bool verify_signature(std::string_view public_key, std::string_view message,
                      std::string_view signature);

} // namespace eelgrassbend

#endif
