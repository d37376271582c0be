#include "arguments.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace eelgrassbend {

static constexpr const char* step = "read arguments";

static error usage_error(std::string detail)
{
    return make_error(errc::invalid_argument, step, {}, std::move(detail));
}

result<std::vector<std::string>> parse_flags(int argc, char** argv)
{
    std::vector<std::string> rest;
    for (int index = 1; index < argc; ++index) {
        const std::string argument = argv[index];
        if (!argument.starts_with("--") || argument == "--") {
            rest.push_back(argument);
            continue;
        }
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(argument.substr(2), absl::MaxSplits('=', 1));
        auto* flag = absl::FindCommandLineFlag(parts.first);
        if (flag == nullptr) {
            return usage_error("unknown flag --" + parts.first);
        }
        auto value = parts.second;
        const bool has_value = argument.find('=') != std::string::npos;
        if (!has_value && flag->IsOfType<bool>()) {
            value = "true";
        }
        else if (!has_value) {
            if (++index == argc) {
                return usage_error("--" + parts.first + " needs a value");
            }
            value = argv[index];
        }
        std::string problem;
        if (!flag->ParseFrom(value, &problem)) {
            return usage_error("--" + parts.first + ": " + problem);
        }
    }
    return rest;
}

result<network_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    constexpr std::uint32_t highest_port = 65'535;
    const bool valid = colon != std::string::npos && colon > 0 &&
                       absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 &&
                       port <= highest_port;
    if (!valid) {
        return usage_error("\"" + text + "\" is not an address; allowed is ip:port");
    }
    return network_address{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

result<std::vector<network_address>> parse_addresses(const std::string& text)
{
    std::vector<network_address> addresses;
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    for (const auto& part : parts) {
        auto address = parse_address(part);
        if (!address) {
            return address.error();
        }
        addresses.push_back(std::move(address.value()));
    }
    return addresses;
}

result<operator_set> parse_trusted_keys(const std::string& text, std::uint32_t required)
{
    constexpr std::size_t key_digits = 64;
    operator_set trusted;
    trusted.required_signatures = required;
    const std::vector<std::string> keys = absl::StrSplit(text, ',');
    for (const auto& key : keys) {
        const bool valid = key.size() == key_digits &&
                           key.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!valid) {
            return usage_error("\"" + key +
                               "\" is not a public key of 64 hexadecimal digits; "
                               "--trusted_keys takes those of the nodes' settings");
        }
        trusted.operators.push_back(
            {"operator-" + std::to_string(trusted.operators.size() + 1), key});
    }
    if (required < 1 || required > trusted.operators.size()) {
        return usage_error("--trusted_signatures must be from 1 to the number of trusted keys");
    }
    return trusted;
}

} // namespace eelgrassbend
