#include "eelgrassbend/bundle/signing.h"

#include "eelgrassbend/support/hex.h"

#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace eelgrassbend {

static constexpr std::size_t key_bytes = 32;
static constexpr std::size_t signature_bytes = 64;

using key_pointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using digest_pointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

static const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

static key_pointer make_secret(std::string_view raw)
{
    auto* key = EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes_of(raw), raw.size());
    return {key, &EVP_PKEY_free};
}

static key_pointer make_public(std::string_view raw)
{
    auto* key = EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes_of(raw), raw.size());
    return {key, &EVP_PKEY_free};
}

static result<std::string> raw_part(const EVP_PKEY* key,
                                    int (*getter)(const EVP_PKEY*, unsigned char*, std::size_t*))
{
    std::array<unsigned char, key_bytes> raw{};
    std::size_t size = raw.size();
    if (key == nullptr || getter(key, raw.data(), &size) != 1 || size != key_bytes) {
        return make_error(errc::internal, "read Ed25519 key", "OpenSSL");
    }
    return std::string{raw.begin(), raw.end()};
}

static result<signing_key> describe(const EVP_PKEY* key)
{
    auto secret = raw_part(key, &EVP_PKEY_get_raw_private_key);
    if (!secret) {
        return secret.error();
    }
    auto open = raw_part(key, &EVP_PKEY_get_raw_public_key);
    if (!open) {
        return open.error();
    }
    return signing_key{to_hex(secret.value()), to_hex(open.value())};
}

result<signing_key> generate_signing_key()
{
    const key_pointer key{EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), &EVP_PKEY_free};
    return describe(key.get());
}

result<signing_key> load_signing_key(std::string_view secret_key)
{
    const auto raw = from_hex(secret_key, key_bytes);
    if (!raw) {
        return make_error(errc::invalid_argument, "read signing key", {},
                          "a secret key has 64 lower-case hexadecimal digits");
    }
    return describe(make_secret(*raw).get());
}

result<std::string> sign_message(const signing_key& key, std::string_view message)
{
    const auto raw = from_hex(key.secret_key, key_bytes);
    if (!raw) {
        return make_error(errc::invalid_argument, "sign", {}, "malformed secret key");
    }
    const auto secret = make_secret(*raw);
    const digest_pointer context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
    std::array<unsigned char, signature_bytes> signature{};
    std::size_t size = signature.size();
    const bool signed_well =
        secret && context &&
        EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, secret.get()) == 1 &&
        EVP_DigestSign(context.get(), signature.data(), &size, bytes_of(message), message.size()) ==
            1;
    if (!signed_well || size != signature_bytes) {
        return make_error(errc::internal, "sign", "OpenSSL");
    }
    return to_hex(std::string{signature.begin(), signature.end()});
}

bool verify_signature(std::string_view public_key, std::string_view message,
                      std::string_view signature)
{
    const auto raw_key = from_hex(public_key, key_bytes);
    const auto raw_signature = from_hex(signature, signature_bytes);
    if (!raw_key || !raw_signature) {
        return false;
    }
    const auto key = make_public(*raw_key);
    const digest_pointer context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
    return key && context &&
           EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
           EVP_DigestVerify(context.get(), bytes_of(*raw_signature), raw_signature->size(),
                            bytes_of(message), message.size()) == 1;
}

} // namespace eelgrassbend
