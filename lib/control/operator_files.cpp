#include "eelgrassbend/control/operator_files.h"

#include "eelgrassbend/bundle/bundle_codec.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace eelgrassbend {

static result<std::string> read_text(const std::string& path, const char* step)
{
    const std::ifstream file{path};
    if (!file) {
        return make_error(errc::not_found, step, path, "cannot open the file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static result<void> write_text(const std::string& path, const std::string& text, const char* step)
{
    std::ofstream file{path};
    file << text;
    file.flush();
    if (!file) {
        return make_error(errc::invalid_argument, step, path, "cannot write the file");
    }
    return boost::outcome_v2::success();
}

result<void> save_key(const std::string& path, const signing_key& key)
{
    constexpr const char* step = "write signing key";
    if (std::filesystem::exists(path)) {
        return make_error(errc::conflict, step, path, "the file exists");
    }
    // The file gets its permissions before the secret.
    auto written = write_text(path, {}, step);
    if (!written) {
        return written;
    }
    std::error_code failure;
    using std::filesystem::perms;
    std::filesystem::permissions(path, perms::owner_read | perms::owner_write, failure);
    if (failure) {
        return make_error(errc::invalid_argument, step, path, failure.message());
    }
    const nlohmann::json values{{"public_key", key.public_key}, {"secret_key", key.secret_key}};
    return write_text(path, values.dump() + "\n", step);
}

result<signing_key> load_key(const std::string& path)
{
    const auto text = read_text(path, "read signing key");
    if (!text) {
        return text.error();
    }
    const auto values = nlohmann::json::parse(text.value(), nullptr, false);
    if (!values.is_object() || !values.contains("secret_key") ||
        !values["secret_key"].is_string()) {
        return make_error(errc::invalid_argument, "read signing key", path,
                          "not a key file of eelgrassbendctl keys generate");
    }
    return load_signing_key(values["secret_key"].get<std::string>());
}

result<void> save_signed_bundle(const std::string& path, const signed_bundle& sealed)
{
    return write_text(path, encode_record(sealed) + "\n", "write signed bundle");
}

static result<signed_bundle> parse_signed(const std::string& text, const std::string& path)
{
    auto decoded = decode_record(text);
    if (!decoded) {
        auto failure = decoded.error();
        failure.peer = path;
        return failure;
    }
    auto* sealed = std::get_if<signed_bundle>(&decoded.value());
    if (sealed == nullptr) {
        return make_error(errc::invalid_argument, "read signed bundle", path, "a checkpoint");
    }
    return std::move(*sealed);
}

result<signed_bundle> load_signed_bundle(const std::string& path)
{
    const auto text = read_text(path, "read signed bundle");
    if (!text) {
        return text.error();
    }
    return parse_signed(text.value(), path);
}

result<bundle> load_bundle(const std::string& path)
{
    const auto text = read_text(path, "read bundle");
    if (!text) {
        return text.error();
    }
    if (!text.value().starts_with('{')) {
        return parse_bundle_file(text.value(), path);
    }
    const auto sealed = parse_signed(text.value(), path);
    if (!sealed) {
        return sealed.error();
    }
    return open_signed_bundle(sealed.value());
}

} // namespace eelgrassbend
