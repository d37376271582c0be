#include "eelgrassbend/platform/http_platform.h"

#include "eelgrassbend/support/call_target.h"

#include "platform_json.h"

namespace eelgrassbend {

using nlohmann::json;

http_host_list::http_host_list(http_client& client, network_address platform, duration timeout)
    : client(client), platform(std::move(platform)), timeout(timeout)
{
}

static std::vector<host_entry> read_hosts(const json& answer)
{
    std::vector<host_entry> hosts;
    for (const auto& entry : answer.at("hosts")) {
        hosts.push_back(read_host(entry));
    }
    return hosts;
}

void http_host_list::fetch(handler done)
{
    http_call call{this->platform, "GET", "/hosts", {}, this->timeout};
    this->client.send(std::move(call), [done = std::move(done), peer = this->platform.to_string()](
                                           const result<http_answer>& answer) {
        done(convert_answer<std::vector<host_entry>>(answer, "read host list", peer, read_hosts));
    });
}

http_cloud_api::http_cloud_api(http_client& client, network_address platform, duration timeout)
    : client(client), platform(std::move(platform)), timeout(timeout)
{
}

static std::vector<reclaim_notice> read_notices(const json& answer)
{
    std::vector<reclaim_notice> notices;
    for (const auto& entry : answer.at("notices")) {
        const std::chrono::milliseconds taken{entry.at("taken_at_ms").get<std::int64_t>()};
        notices.push_back({entry.at("sequence").get<std::uint64_t>(),
                           host_name{entry.at("host").get<std::string>()}, wall_time{taken}});
    }
    return notices;
}

void http_cloud_api::fetch_notices(std::uint64_t from, notices_handler handler)
{
    http_call call{this->platform,
                   "GET",
                   call_target{"/cloud/notices"}.parameter("from", from).to_string(),
                   {},
                   this->timeout};
    this->client.send(std::move(call),
                      [handler = std::move(handler),
                       peer = this->platform.to_string()](const result<http_answer>& answer) {
                          handler(convert_answer<std::vector<reclaim_notice>>(
                              answer, "read notices", peer, read_notices));
                      });
}

void http_cloud_api::order(const host_order& wanted, order_handler handler)
{
    const json body{{"client_token", wanted.client_token},
                    {"service", wanted.service.value()},
                    {"zone", wanted.zone.value()},
                    {"type", wanted.type.value()},
                    {"reclaimable", wanted.reclaimable}};
    http_call call{this->platform, "POST", "/cloud/hosts", body.dump(), this->timeout};
    this->client.send(
        std::move(call), [handler = std::move(handler),
                          peer = this->platform.to_string()](const result<http_answer>& answer) {
            handler(convert_answer<host_name>(answer, "order host", peer, [](const json& text) {
                return host_name{text.at("host").get<std::string>()};
            }));
        });
}

void http_cloud_api::release(const host_name& host, done_handler handler)
{
    http_call call{this->platform,
                   "DELETE",
                   call_target{"/cloud/hosts"}.segment(host.value()).to_string(),
                   {},
                   this->timeout};
    this->client.send(
        std::move(call), [handler = std::move(handler), host,
                          peer = this->platform.to_string()](const result<http_answer>& answer) {
            constexpr int no_content = 204;
            if (answer && answer.value().status == no_content) {
                handler(boost::outcome_v2::success());
                return;
            }
            auto converted = convert_answer<int>(answer, "release host " + host.value(), peer,
                                                 [](const json&) { return 0; });
            if (!converted) {
                handler(converted.error());
                return;
            }
            handler(boost::outcome_v2::success());
        });
}

void http_cloud_api::list(
    std::function<void(result<std::vector<std::pair<std::string, host_entry>>>)> handler)
{
    using account_list = std::vector<std::pair<std::string, host_entry>>;
    http_call call{this->platform, "GET", "/cloud/hosts", {}, this->timeout};
    this->client.send(std::move(call), [handler = std::move(handler),
                                        peer = this->platform.to_string()](
                                           const result<http_answer>& answer) {
        handler(convert_answer<account_list>(answer, "list hosts", peer, [](const json& text) {
            account_list hosts;
            for (const auto& entry : text.at("hosts")) {
                hosts.emplace_back(entry.at("client_token").get<std::string>(), read_host(entry));
            }
            return hosts;
        }));
    });
}

} // namespace eelgrassbend
