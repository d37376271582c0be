#include "eelgrassbend/endpoints/platform_endpoint_directory.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/membership.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static const std::string notice_topic = "notice";

/// Time for which a notice is retained after its host was reclaimed. Longer than the delay of the
/// host list, so that an outdated list cannot add the host again.
static constexpr std::chrono::minutes notice_retention{5};

platform_endpoint_directory::platform_endpoint_directory(scheduler& time, random_source& random,
                                                         host_list& hosts, cloud_api& cloud,
                                                         dissemination& gossip, event_log& log,
                                                         std::function<std::size_t()> node_count,
                                                         endpoint_directory_settings settings)
    : time(time),
      random(random),
      hosts(hosts),
      cloud(cloud),
      gossip(gossip),
      log(log),
      node_count(std::move(node_count)),
      settings(settings)
{
}

static std::string encode_notice(const reclaim_notice& notice)
{
    const auto reclaimed =
        std::chrono::duration_cast<std::chrono::milliseconds>(notice.taken_at.time_since_epoch());
    const nlohmann::json text{{"host", notice.host.value()},
                              {"sequence", notice.sequence},
                              {"taken_at_ms", reclaimed.count()}};
    return text.dump();
}

static std::optional<reclaim_notice> decode_notice(const std::string& payload)
{
    const auto text = nlohmann::json::parse(payload, nullptr, false);
    if (!text.is_object() || !text.contains("host") || !text["host"].is_string() ||
        !text.contains("sequence") || !text["sequence"].is_number_unsigned() ||
        !text.contains("taken_at_ms") || !text["taken_at_ms"].is_number_integer()) {
        return std::nullopt;
    }
    const std::chrono::milliseconds reclaimed{text["taken_at_ms"].get<std::int64_t>()};
    return reclaim_notice{text["sequence"].get<std::uint64_t>(),
                          host_name{text["host"].get<std::string>()}, wall_time{reclaimed}};
}

void platform_endpoint_directory::start()
{
    this->is_running = true;
    this->gossip.subscribe(notice_topic, [this](const std::string& payload) {
        if (const auto notice = decode_notice(payload)) {
            this->apply_notice(*notice);
        }
    });
    this->poll_hosts();
    this->poll_notices();
}

void platform_endpoint_directory::stop()
{
    this->is_running = false;
}

// All nodes together poll at a fixed rate, whatever their number: the first node that receives a
// notice publishes it to the others.
duration platform_endpoint_directory::poll_interval(double polls_per_second) const
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(this->node_count(), 1));
    const auto jitter = 0.75 + 0.5 * random_unit(this->random);
    const std::chrono::duration<double> span{jitter * nodes / polls_per_second};
    return std::clamp(std::chrono::duration_cast<duration>(span), this->settings.min_poll_interval,
                      this->settings.max_poll_interval);
}

void platform_endpoint_directory::schedule_poll(duration pause,
                                                void (platform_endpoint_directory::*poll)())
{
    this->time.call_after(pause, [this, poll] {
        if (this->is_running) {
            (this->*poll)();
        }
    });
}

void platform_endpoint_directory::poll_hosts()
{
    this->hosts.fetch([this](result<std::vector<host_entry>> listed) {
        if (!this->is_running) {
            return;
        }
        if (listed) {
            this->merge_hosts(listed.value());
        }
        else {
            this->log.write(log_level::warning, "host_list",
                            {{"error", listed.error().to_string()}});
        }
        this->remove_reclaimed();
        this->schedule_poll(this->poll_interval(this->settings.host_polls_per_second),
                            &platform_endpoint_directory::poll_hosts);
    });
}

void platform_endpoint_directory::poll_notices()
{
    this->cloud.fetch_notices(
        this->next_notice, [this](result<std::vector<reclaim_notice>> fetched) {
            if (!this->is_running) {
                return;
            }
            if (fetched) {
                this->apply_new_notices(fetched.value());
            }
            this->remove_reclaimed();
            this->schedule_poll(this->poll_interval(this->settings.notice_polls_per_second),
                                &platform_endpoint_directory::poll_notices);
        });
}

void platform_endpoint_directory::apply_new_notices(const std::vector<reclaim_notice>& fetched)
{
    for (const auto& notice : fetched) {
        this->next_notice = std::max(this->next_notice, notice.sequence + 1);
        const bool is_new = !this->notices.contains(notice.host.value());
        if (is_new && notice.taken_at + notice_retention > this->time.wall_now()) {
            this->gossip.publish(notice_topic, encode_notice(notice));
            this->apply_notice(notice);
        }
    }
}

void platform_endpoint_directory::apply_notice(const reclaim_notice& notice)
{
    if (!this->notices.emplace(notice.host.value(), notice).second) {
        return;
    }
    const auto found = this->entries.find(notice.host.value());
    if (found == this->entries.end()) {
        return;
    }
    auto& info = found->second.info;
    info.taken_at = notice.taken_at;
    if (info.state == endpoint_state::live) {
        info.state = endpoint_state::leaving;
    }
    this->report_change(info, "notice");
}

void platform_endpoint_directory::merge_hosts(const std::vector<host_entry>& listed)
{
    this->has_host_list_data = true;
    std::set<std::string> names;
    for (const auto& host : listed) {
        if (host.role != host_role::endpoint) {
            continue;
        }
        names.insert(host.name.value());
        this->merge_host(host);
    }
    this->remove_missing(names);
}

void platform_endpoint_directory::merge_host(const host_entry& host)
{
    const auto notice = this->notices.find(host.name.value());
    const bool has_notice = notice != this->notices.end();
    if (has_notice && notice->second.taken_at <= this->time.wall_now()) {
        return;
    }
    const auto [position, is_new] = this->entries.try_emplace(host.name.value());
    auto& entry = position->second;
    entry.missing_polls = 0;
    const auto previous_state = entry.info.state;
    if (is_new) {
        entry.info = {endpoint_id{host.name.value()},
                      host.service,
                      host.zone,
                      host.type,
                      host.reclaimable,
                      host.address,
                      endpoint_state::live,
                      std::nullopt};
    }
    if (has_notice) {
        entry.info.taken_at = notice->second.taken_at;
    }
    if (has_notice || host.state == host_state::leaving) {
        entry.info.state = endpoint_state::leaving;
    }
    if (is_new || entry.info.state != previous_state) {
        this->report_change(entry.info, "host_list");
    }
}

void platform_endpoint_directory::remove_missing(const std::set<std::string>& listed)
{
    std::vector<std::string> missing;
    for (auto& [name, entry] : this->entries) {
        if (listed.contains(name)) {
            continue;
        }
        ++entry.missing_polls;
        if (entry.missing_polls >= this->settings.missing_polls_until_gone) {
            missing.push_back(name);
        }
    }
    for (const auto& name : missing) {
        auto entry = this->entries.extract(name);
        entry.mapped().info.state = endpoint_state::gone;
        this->report_change(entry.mapped().info, "host_list");
    }
}

void platform_endpoint_directory::remove_reclaimed()
{
    const auto now = this->time.wall_now();
    std::erase_if(this->notices, [&](const auto& entry) {
        return entry.second.taken_at + notice_retention <= now;
    });
    std::vector<std::string> reclaimed;
    for (const auto& [name, entry] : this->entries) {
        if (entry.info.taken_at && *entry.info.taken_at <= now) {
            reclaimed.push_back(name);
        }
    }
    for (const auto& name : reclaimed) {
        auto entry = this->entries.extract(name);
        entry.mapped().info.state = endpoint_state::gone;
        this->report_change(entry.mapped().info, "taken");
    }
}

static const char* state_name(endpoint_state state)
{
    switch (state) {
    case endpoint_state::live:
        return "live";
    case endpoint_state::leaving:
        return "leaving";
    case endpoint_state::gone:
        return "gone";
    }
    return "unknown";
}

void platform_endpoint_directory::report_change(const endpoint_info& info, const char* cause)
{
    this->log.write(log_level::info, "endpoint",
                    {{"endpoint", info.id.value()},
                     {"service", info.service.value()},
                     {"state", state_name(info.state)},
                     {"cause", cause}});
    const auto copy = info;
    for (const auto& observer : this->observers) {
        observer(copy);
    }
}

std::vector<endpoint_info> platform_endpoint_directory::all() const
{
    std::vector<endpoint_info> listed;
    listed.reserve(this->entries.size());
    for (const auto& [name, entry] : this->entries) {
        listed.push_back(entry.info);
    }
    return listed;
}

std::vector<endpoint_info> platform_endpoint_directory::endpoints(const service_id& service) const
{
    std::vector<endpoint_info> listed;
    for (const auto& [name, entry] : this->entries) {
        if (entry.info.service == service) {
            listed.push_back(entry.info);
        }
    }
    return listed;
}

std::optional<endpoint_info> platform_endpoint_directory::find(const endpoint_id& id) const
{
    const auto found = this->entries.find(id.value());
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return found->second.info;
}

void platform_endpoint_directory::on_change(std::function<void(const endpoint_info&)> observer)
{
    this->observers.push_back(std::move(observer));
}

} // namespace eelgrassbend
