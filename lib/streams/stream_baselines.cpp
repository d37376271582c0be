#include "eelgrassbend/streams/stream_baselines.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace eelgrassbend {

static constexpr std::string_view key_prefix = "stream-baseline/";
/// Pause after a failed append.
static constexpr std::chrono::seconds append_retry_pause{1};
/// Bounds of the lifetime of a stream. A caller may resume it until its own deadline, which is
/// unknown here and may lie beyond the timeout of the route.
static constexpr std::chrono::seconds min_lifetime{20};
static constexpr std::chrono::seconds max_lifetime{120};
static constexpr int timeouts_per_lifetime = 2;
/// Longer than the store may delay a write, or a holder that was superseded may go on.
static constexpr std::chrono::seconds settling_time{10};

static bool is_resumable_stream(const route& candidate)
{
    return candidate.kind == request_kind::stream && candidate.is_resumable;
}

static std::set<service_id> services_with_streams(const routing_configuration& configuration)
{
    std::set<service_id> services;
    for (const auto& candidate : configuration.routes) {
        if (is_resumable_stream(candidate)) {
            for (const auto& share : candidate.split) {
                services.insert(share.service);
            }
        }
    }
    return services;
}

stream_baselines::stream_baselines(record_store& store, scheduler& time, event_log& log,
                                   const endpoint_table& endpoints, store_topic topic)
    : store(store),
      time(time),
      log(log),
      endpoints(endpoints),
      topic(std::move(topic)),
      lifetime(max_lifetime),
      started_at(time.now())
{
}

bool stream_baselines::is_own_key(const std::string& key)
{
    return key.starts_with(key_prefix);
}

// A late write of a former holder must not take effect.
void stream_baselines::on_record_written(const std::string& key, const std::string& value)
{
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("version") || !parsed.contains("token") ||
        !parsed["version"].is_string() || !parsed["token"].is_number_unsigned()) {
        this->log.write(log_level::warning, "stream_baseline_invalid", {{"key", key}});
        return;
    }
    const service_id service{key.substr(key_prefix.size())};
    if (this->apply(service, software_version{parsed["version"].get<std::string>()},
                    fencing_token{parsed["token"].get<std::uint64_t>()})) {
        this->lost.erase(service);
        return;
    }
    this->lost.insert(service);
}

bool stream_baselines::apply(const service_id& service, const software_version& version,
                             fencing_token token)
{
    const auto [known, is_new] =
        this->baselines.emplace(service, baseline{version, token, this->time.now()});
    if (is_new) {
        return true;
    }
    if (known->second.token > token) {
        return false;
    }
    if (known->second.version != version) {
        known->second = {version, token, this->time.now()};
    }
    known->second.token = token;
    return true;
}

// A restored store may lack a baseline that is in force.
void stream_baselines::on_record_removed(const std::string& key)
{
    this->lost.insert(service_id{key.substr(key_prefix.size())});
}

void stream_baselines::set_table(std::shared_ptr<const route_table> current)
{
    this->table = std::move(current);
    duration longest{};
    for (const auto& candidate : this->table->configuration().routes) {
        if (is_resumable_stream(candidate)) {
            longest = std::max(longest, candidate.timeout);
        }
    }
    this->lifetime =
        std::clamp<duration>(timeouts_per_lifetime * longest, min_lifetime, max_lifetime);
}

void stream_baselines::update()
{
    const auto now = this->time.now();
    for (const auto& [id, known] : this->endpoints.all()) {
        this->last_known[known.record.service][known.record.version] = now;
    }
    for (auto& [service, versions] : this->last_known) {
        std::erase_if(versions,
                      [&](const auto& entry) { return now - entry.second > max_lifetime; });
    }
}

std::optional<software_version> stream_baselines::find(const service_id& service) const
{
    const auto found = this->baselines.find(service);
    return found != this->baselines.end() ? std::optional{found->second.version} : std::nullopt;
}

std::optional<software_version> stream_baselines::settled(const service_id& service) const
{
    const auto found = this->baselines.find(service);
    const bool is_settled = found != this->baselines.end() &&
                            this->time.now() - found->second.known_since >= settling_time;
    return is_settled ? std::optional{found->second.version} : std::nullopt;
}

std::optional<software_version> stream_baselines::single_version(const service_id& service) const
{
    const auto now = this->time.now();
    const auto found = this->last_known.find(service);
    if (now - this->started_at < this->lifetime || found == this->last_known.end()) {
        return std::nullopt;
    }
    std::optional<software_version> single;
    for (const auto& [version, last] : found->second) {
        if (now - last >= this->lifetime) {
            continue;
        }
        if (single) {
            return std::nullopt;
        }
        single = version;
    }
    return single;
}

std::optional<software_version> stream_baselines::most_frequent(const service_id& service) const
{
    std::map<software_version, int> counts;
    for (const auto& [id, known] : this->endpoints.all()) {
        if (known.record.service == service && !known.record.is_draining) {
            ++counts[known.record.version];
        }
    }
    const auto most =
        std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    return most != counts.end() ? std::optional{most->first} : std::nullopt;
}

// A node that has not observed the endpoints for a lifetime counts from its start.
bool stream_baselines::is_outdated(const service_id& service, const baseline& known) const
{
    auto last = this->started_at;
    const auto versions = this->last_known.find(service);
    if (versions != this->last_known.end()) {
        const auto found = versions->second.find(known.version);
        last = found != versions->second.end() ? std::max(last, found->second) : last;
    }
    return this->time.now() - last >= this->lifetime;
}

// Without a baseline the origins of all streams are recorded, so that any version may become it.
void stream_baselines::synchronize(fencing_token token)
{
    if (!this->table || !this->has_all_records || this->is_appending ||
        this->time.now() < this->next_append) {
        return;
    }
    for (const auto& service : services_with_streams(this->table->configuration())) {
        const auto known = this->baselines.find(service);
        if (known != this->baselines.end() && this->lost.contains(service)) {
            this->append(service, known->second.version, token);
            return;
        }
        if (known != this->baselines.end() && !this->is_outdated(service, known->second)) {
            continue;
        }
        const auto version = this->most_frequent(service);
        const bool is_same = known != this->baselines.end() && known->second.version == version;
        if (version && !is_same) {
            this->append(service, *version, token);
            return;
        }
    }
}

void stream_baselines::append(const service_id& service, const software_version& version,
                              fencing_token token)
{
    this->is_appending = true;
    const nlohmann::json value{{"version", version.value()}, {"token", token.value()}};
    this->store.append(
        this->topic, {{log_offset{}, std::string{key_prefix} + service.value(), value.dump()}},
        std::nullopt,
        this->scope.guard([this, service, version, token](const result<append_answer>& answer) {
            this->is_appending = false;
            if (!answer) {
                this->next_append = this->time.now() + append_retry_pause;
                this->log.write(
                    log_level::warning, "stream_baseline_write_failed",
                    {{"service", service.value()}, {"error", answer.error().to_string()}});
                return;
            }
            if (this->apply(service, version, token)) {
                this->lost.erase(service);
            }
            this->log.write(log_level::info, "stream_baseline_written",
                            {{"service", service.value()},
                             {"version", version.value()},
                             {"token", token.value()}});
        }));
}

} // namespace eelgrassbend
