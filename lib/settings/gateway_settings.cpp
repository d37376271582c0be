#include "eelgrassbend/settings/gateway_settings.h"

#include "setting_values.h"

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static duration read_seconds(toml_reader& table, const std::string& key, double min, double max,
                             duration default_value)
{
    const std::chrono::duration<double> default_number{default_value};
    const std::chrono::duration<double> value{table.number(key, min, max, default_number.count())};
    return std::chrono::duration_cast<duration>(value);
}

static void read_addresses(toml_reader& root, gateway_settings& settings)
{
    auto listen = root.table("listen");
    settings.callers = read_address(listen, "callers");
    settings.ready = read_address(listen, "ready");
    settings.directory = read_address(listen, "directory");
    settings.datagrams = read_address(listen, "datagrams");
    settings.metrics = read_address(listen, "metrics");
    listen.reject_unknown_keys();
    auto store = root.table("store");
    settings.store = read_address(store, "address");
    constexpr double max_writes = 1'000'000.0;
    settings.store_writes_per_second =
        store.number("writes_per_second", 1.0, max_writes, settings.store_writes_per_second);
    store.reject_unknown_keys();
    auto cloud = root.table("cloud", false);
    if (!cloud.string("address", "").empty()) {
        settings.cloud = read_address(cloud, "address");
    }
    cloud.reject_unknown_keys();
}

static gateway_bounds read_bounds(toml_reader& root)
{
    constexpr double max_retry_slack = 1'000'000.0;
    gateway_bounds bounds;
    auto table = root.table("bounds", false);
    bounds.removed_key =
        table.milliseconds("removed_key_ms", milliseconds{100}, minutes{10}, bounds.removed_key);
    bounds.configuration = table.milliseconds("configuration_ms", milliseconds{100}, minutes{10},
                                              bounds.configuration);
    bounds.draining =
        table.milliseconds("draining_ms", milliseconds{100}, minutes{10}, bounds.draining);
    bounds.lease = table.milliseconds("lease_ms", milliseconds{200}, minutes{10}, bounds.lease);
    bounds.stop = read_seconds(table, "stop_s", 0.5, 3600.0, bounds.stop);
    bounds.quota_window = read_seconds(table, "quota_window_s", 0.5, 3600.0, bounds.quota_window);
    bounds.usage_window = read_seconds(table, "usage_window_s", 0.1, 3600.0, bounds.usage_window);
    bounds.usage_due = read_seconds(table, "usage_due_s", 0.1, 3600.0, bounds.usage_due);
    bounds.directory_time_to_live =
        read_seconds(table, "directory_time_to_live_s", 0.1, 3600.0, bounds.directory_time_to_live);
    bounds.retries.ratio = table.number("retry_ratio", 0.0, 10.0, bounds.retries.ratio);
    bounds.retries.slack = table.number("retry_slack", 0.0, max_retry_slack, bounds.retries.slack);
    table.reject_unknown_keys();
    return bounds;
}

static std::optional<rollout_bounds> read_rollout(toml_reader& root)
{
    constexpr double max_slack = 1'000'000.0;
    rollout_bounds bounds;
    auto table = root.table("rollout", false);
    const double no_share = -1.0;
    const double share = table.number("canary_share", no_share, 1.0, no_share);
    bounds.canary_slack = table.number("canary_slack", 0.0, max_slack, bounds.canary_slack);
    bounds.rollback =
        table.milliseconds("rollback_ms", milliseconds{100}, minutes{10}, bounds.rollback);
    table.reject_unknown_keys();
    if (share < 0.0) {
        return std::nullopt;
    }
    bounds.canary_share = share;
    return bounds;
}

static process_limits read_limits(toml_reader& root)
{
    constexpr std::int64_t bytes_per_mb = 1024 * 1024;
    constexpr std::int64_t max_memory_mb = 1024 * 1024;
    constexpr std::int64_t max_descriptors = 10'000'000;
    process_limits limits;
    auto table = root.table("limits", false);
    const auto memory_mb = table.integer("memory_mb", 32, max_memory_mb,
                                         static_cast<std::int64_t>(limits.memory) / bytes_per_mb);
    limits.memory = static_cast<std::size_t>(memory_mb * bytes_per_mb);
    limits.descriptors = static_cast<std::size_t>(table.integer(
        "descriptors", 64, max_descriptors, static_cast<std::int64_t>(limits.descriptors)));
    table.reject_unknown_keys();
    return limits;
}

result<gateway_settings> parse_gateway_settings(const std::string& text, const std::string& file)
{
    constexpr std::int64_t max_connections = 100'000;
    auto parsed = toml_reader::parse(text, file);
    if (!parsed) {
        return parsed.error();
    }
    auto& root = parsed.value();
    gateway_settings settings;
    settings.node = node_id{read_name(root, "name")};
    settings.region = region_name{read_name(root, "region")};
    settings.zone = availability_zone{read_name(root, "zone")};
    settings.log_level =
        root.one_of("log_level", {"debug", "info", "warning", "error"}, settings.log_level);
    settings.connections = static_cast<std::size_t>(root.integer(
        "connections", 1, max_connections, static_cast<std::int64_t>(settings.connections)));
    read_addresses(root, settings);
    settings.bounds = read_bounds(root);
    settings.bounds.rollout = read_rollout(root);
    settings.limits = read_limits(root);
    root.reject_unknown_keys();
    if (auto status = root.status(); !status) {
        return status.error();
    }
    return settings;
}

result<gateway_settings> read_gateway_settings(const std::string& file)
{
    const auto text = read_settings_file(file);
    if (!text) {
        return text.error();
    }
    return parse_gateway_settings(text.value(), file);
}

} // namespace eelgrassbend
