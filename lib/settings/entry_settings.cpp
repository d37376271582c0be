#include "eelgrassbend/settings/entry_settings.h"

#include "setting_values.h"

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr std::size_t min_secret_bytes = 16;
static constexpr std::size_t public_key_digits = 64;

static std::vector<operator_key> read_operator_keys(toml_reader& trust)
{
    std::vector<operator_key> operators;
    for (auto& entry : trust.tables("operator_keys")) {
        operator_key key{entry.string("name"), entry.string("public_key")};
        if (key.public_key.size() != public_key_digits ||
            key.public_key.find_first_not_of("0123456789abcdef") != std::string::npos) {
            entry.reject("public_key", "must be 64 lower-case hexadecimal digits");
        }
        entry.reject_unknown_keys();
        operators.push_back(std::move(key));
    }
    if (operators.empty()) {
        trust.reject("operator_keys", "must list at least one operator");
    }
    trust.reject_unknown_keys();
    return operators;
}

static std::vector<peer_secret> read_peer_keys(toml_reader& peers)
{
    constexpr std::int64_t max_key_id = 65'535;
    std::vector<peer_secret> keys;
    for (auto& entry : peers.tables("keys")) {
        peer_secret key{static_cast<std::uint32_t>(entry.integer("id", 0, max_key_id)),
                        entry.string("secret")};
        if (key.secret.size() < min_secret_bytes) {
            entry.reject("secret", "must have at least 16 bytes");
        }
        entry.reject_unknown_keys();
        keys.push_back(std::move(key));
    }
    if (keys.empty()) {
        peers.reject("keys", "must list at least one key");
    }
    peers.reject_unknown_keys();
    return keys;
}

static void read_addresses(toml_reader& root, entry_settings& settings)
{
    auto listen = root.table("listen");
    settings.callers = read_address(listen, "callers");
    settings.calls = read_address(listen, "calls");
    settings.datagrams = read_address(listen, "datagrams");
    listen.reject_unknown_keys();
    auto platform = root.table("platform");
    settings.platform = read_address(platform, "address");
    platform.reject_unknown_keys();
}

static void read_serving(toml_reader& root, entry_settings& settings)
{
    constexpr std::int64_t max_connections = 100'000;
    auto serving = root.table("serving", false);
    settings.entries_time_to_live = serving.milliseconds(
        "entries_time_to_live_ms", milliseconds{100}, minutes{5}, settings.entries_time_to_live);
    settings.endpoint_poll_interval = serving.milliseconds(
        "endpoint_poll_interval_ms", milliseconds{20}, minutes{1}, settings.endpoint_poll_interval);
    settings.progress_timeout = serving.milliseconds("progress_timeout_ms", milliseconds{50},
                                                     minutes{10}, settings.progress_timeout);
    settings.bundle_staleness = serving.milliseconds("bundle_staleness_ms", milliseconds{500},
                                                     minutes{10}, settings.bundle_staleness);
    settings.stop_limit =
        serving.milliseconds("stop_limit_ms", seconds{1}, minutes{60}, settings.stop_limit);
    settings.connections = static_cast<std::size_t>(serving.integer(
        "connections", 1, max_connections, static_cast<std::int64_t>(settings.connections)));
    serving.reject_unknown_keys();
}

result<entry_settings> parse_entry_settings(const std::string& text, const std::string& file)
{
    auto parsed = toml_reader::parse(text, file);
    if (!parsed) {
        return parsed.error();
    }
    auto& root = parsed.value();
    entry_settings settings;
    settings.node = node_id{read_name(root, "name")};
    settings.region = region_name{read_name(root, "region")};
    settings.zone = availability_zone{read_name(root, "zone")};
    settings.log_level =
        root.one_of("log_level", {"debug", "info", "warning", "error"}, settings.log_level);
    read_addresses(root, settings);
    auto trust = root.table("trust");
    settings.trusted_operators = read_operator_keys(trust);
    auto peers = root.table("peers");
    settings.peer_keys = read_peer_keys(peers);
    read_serving(root, settings);
    root.reject_unknown_keys();
    if (auto status = root.status(); !status) {
        return status.error();
    }
    return settings;
}

result<entry_settings> read_entry_settings(const std::string& file)
{
    const auto text = read_settings_file(file);
    if (!text) {
        return text.error();
    }
    return parse_entry_settings(text.value(), file);
}

} // namespace eelgrassbend
