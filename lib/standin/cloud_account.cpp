#include "cloud_account.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend::standin {

/// Longest lag of the host list.
static constexpr duration history_span = std::chrono::minutes{10};

listed_host parse_host(const nlohmann::json& body)
{
    listed_host host;
    host.name = body.at("name").get<std::string>();
    host.role = body.at("role").get<std::string>();
    host.state = body.value("state", "live");
    host.region = body.value("region", "");
    host.zone = body.at("zone").get<std::string>();
    host.type = body.value("type", "");
    host.reclaimable = body.value("reclaimable", true);
    host.ip = body.at("ip").get<std::string>();
    host.port = body.at("port").get<std::uint16_t>();
    host.service = body.value("service", "");
    return host;
}

nlohmann::json describe(const listed_host& host)
{
    return {{"name", host.name},   {"role", host.role},
            {"state", host.state}, {"region", host.region},
            {"zone", host.zone},   {"type", host.type},
            {"ip", host.ip},       {"reclaimable", host.reclaimable},
            {"port", host.port},   {"service", host.service}};
}

cloud_account::cloud_account(monotonic_time now) : history{{now, {}}} {}

void cloud_account::note_change(monotonic_time now)
{
    snapshot current{now, {}};
    for (const auto& [name, entry] : this->hosts) {
        if (entry.started) {
            current.hosts.push_back(entry.host);
        }
    }
    this->history.push_back(std::move(current));
    while (this->history.size() > 1 && this->history[1].since < now - history_span) {
        this->history.pop_front();
    }
}

std::vector<listed_host> cloud_account::listed_at(monotonic_time time) const
{
    const auto later = [](monotonic_time wanted, const snapshot& entry) {
        return wanted < entry.since;
    };
    const auto after = std::upper_bound(this->history.begin(), this->history.end(), time, later);
    return after == this->history.begin() ? after->hosts : std::prev(after)->hosts;
}

std::vector<listed_host> cloud_account::held() const
{
    std::vector<listed_host> all;
    for (const auto& [name, entry] : this->hosts) {
        all.push_back(entry.host);
    }
    return all;
}

void cloud_account::add(const listed_host& host, monotonic_time now)
{
    this->hosts[host.name] = {host, true};
    this->note_change(now);
}

std::optional<std::string> cloud_account::order(const cloud_order& wanted)
{
    for (const auto& [name, entry] : this->hosts) {
        if (!wanted.client_token.empty() && entry.host.client_token == wanted.client_token) {
            return name;
        }
    }
    const auto matches = [&](const listed_host& spare) {
        return spare.service == wanted.service && spare.zone == wanted.zone &&
               spare.type == wanted.type && spare.reclaimable == wanted.reclaimable;
    };
    const auto found = std::find_if(this->spares.begin(), this->spares.end(), matches);
    if (found == this->spares.end()) {
        return std::nullopt;
    }
    auto host = *found;
    this->spares.erase(found);
    host.client_token = wanted.client_token;
    this->hosts[host.name] = {host, false};
    return host.name;
}

void cloud_account::start(const std::string& name, monotonic_time now)
{
    const auto found = this->hosts.find(name);
    if (found != this->hosts.end()) {
        found->second.started = true;
        this->note_change(now);
    }
}

bool cloud_account::release(const std::string& name, monotonic_time now)
{
    const auto found = this->hosts.find(name);
    if (found == this->hosts.end()) {
        return false;
    }
    auto host = found->second.host;
    this->hosts.erase(found);
    if (!host.client_token.empty()) {
        host.client_token.clear();
        host.state = "live";
        this->spares.push_back(std::move(host));
    }
    this->note_change(now);
    return true;
}

bool cloud_account::announce_reclaim(const std::string& name, wall_time taken_at,
                                     monotonic_time now)
{
    const auto found = this->hosts.find(name);
    if (found == this->hosts.end()) {
        return false;
    }
    found->second.host.state = "leaving";
    this->all_notices.push_back({this->all_notices.size(), name, taken_at});
    this->note_change(now);
    return true;
}

void cloud_account::take(const std::string& name, monotonic_time now)
{
    const auto found = this->hosts.find(name);
    if (found != this->hosts.end() && found->second.host.state == "leaving") {
        this->hosts.erase(found);
        this->note_change(now);
    }
}

std::vector<cloud_notice> cloud_account::notices(std::uint64_t from) const
{
    const auto begin = std::min<std::size_t>(from, this->all_notices.size());
    return {this->all_notices.begin() + static_cast<std::ptrdiff_t>(begin),
            this->all_notices.end()};
}

} // namespace eelgrassbend::standin
