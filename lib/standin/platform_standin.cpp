#include "eelgrassbend/standin/platform_standin.h"

#include "cloud_account.h"
#include "eelgrassbend/standin/endpoint.h"
#include "log_service.h"
#include "platform_faults.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace eelgrassbend::standin {

using nlohmann::json;
using std::chrono::milliseconds;

class platform_standin::implementation {
public:
    using answer_pointer = std::shared_ptr<http_answer>;

    implementation(const platform_standin_settings& given, event_loop& loop)
        : settings(given),
          loop(loop),
          random(given.seed),
          log(this->settings, this->faults, loop, this->random),
          cloud(loop.now()),
          weights(given.weight_fetches_per_second),
          server(loop, given.ip, given.port,
                 [this](const auto& request, auto answer) { this->serve(request, answer); })
    {
        this->faults.hosts_lag = given.hosts_lag;
        if (!given.hosts_json.empty()) {
            this->load_hosts(json::parse(given.hosts_json));
        }
    }

    void load_hosts(const json& body)
    {
        for (const auto& host : body.value("hosts", json::array())) {
            this->cloud.add(parse_host(host), this->loop.now());
        }
        for (const auto& host : body.value("spares", json::array())) {
            this->cloud.add_spare(parse_host(host));
        }
    }

    void serve(const http_request& request, const answer_pointer& answer)
    {
        if (const auto stream = tail(request.path, "/log/"); !stream.empty()) {
            this->log.serve(stream, request, answer);
        }
        else if (request.path.starts_with("/cloud/")) {
            this->serve_cloud(request, answer);
        }
        else if (request.path.starts_with("/admin/")) {
            this->serve_admin(request, answer);
        }
        else {
            this->serve_rest(request, answer);
        }
    }

    void serve_rest(const http_request& request, const answer_pointer& answer)
    {
        const auto call = request.method + " " + request.path;
        if (call == "GET /healthz") {
            send(answer, {{"status", "ok"}});
        }
        else if (call == "GET /hosts") {
            this->list_hosts(answer);
        }
        else if (const auto model = tail(call, "GET /weights/"); !model.empty()) {
            this->fetch_weights(model, answer);
        }
        else {
            refuse(*answer, 404, "no such path");
        }
    }

    void serve_cloud(const http_request& request, const answer_pointer& answer)
    {
        const auto call = request.method + " " + request.path;
        if (this->faults.cloud_down) {
            refuse(*answer, 503, "cloud is down");
        }
        else if (call == "GET /cloud/notices") {
            this->list_notices(request, answer);
        }
        else if (call == "POST /cloud/hosts") {
            this->order_host(json::parse(request.body), answer);
        }
        else if (call == "GET /cloud/hosts") {
            this->list_held(answer);
        }
        else if (const auto host = tail(call, "DELETE /cloud/hosts/"); !host.empty()) {
            this->release_host(host, answer);
        }
        else {
            refuse(*answer, 404, "no such path");
        }
    }

    void serve_admin(const http_request& request, const answer_pointer& answer)
    {
        const auto call = request.method + " " + request.path;
        if (call == "POST /admin/hosts") {
            this->cloud.add(parse_host(json::parse(request.body)), this->loop.now());
            send(answer, json::object());
        }
        else if (const auto host = tail(call, "DELETE /admin/hosts/"); !host.empty()) {
            send_found(answer, this->cloud.release(host, this->loop.now()));
        }
        else if (call == "POST /admin/notices") {
            this->announce_reclaim(json::parse(request.body), answer);
        }
        else if (call == "POST /admin/faults") {
            this->set_faults(json::parse(request.body));
            send(answer, json::object());
        }
        else if (call == "GET /admin/appends") {
            send(answer, {{"appends", this->log.appends}, {"records", this->log.records}});
        }
        else {
            refuse(*answer, 404, "no such path");
        }
    }

    void list_hosts(const answer_pointer& answer)
    {
        if (this->faults.hosts_down) {
            refuse(*answer, 503, "host list is down");
            return;
        }
        json hosts = json::array();
        for (const auto& host : this->cloud.listed_at(this->loop.now() - this->faults.hosts_lag)) {
            hosts.push_back(describe(host));
        }
        send(answer, {{"hosts", hosts}});
    }

    void list_held(const answer_pointer& answer)
    {
        json hosts = json::array();
        for (const auto& host : this->cloud.held()) {
            auto entry = describe(host);
            entry["client_token"] = host.client_token;
            hosts.push_back(entry);
        }
        send(answer, {{"hosts", hosts}});
    }

    void list_notices(const http_request& request, const answer_pointer& answer)
    {
        json notices = json::array();
        const auto from = static_cast<std::uint64_t>(request.number("from", 0));
        for (const auto& notice : this->cloud.notices(from)) {
            const auto since_epoch = notice.taken_at.time_since_epoch();
            const auto taken = std::chrono::duration_cast<milliseconds>(since_epoch);
            notices.push_back({{"sequence", notice.sequence},
                               {"host", notice.host},
                               {"taken_at_ms", taken.count()}});
        }
        send(answer, {{"notices", notices}});
    }

    void order_host(const json& body, const answer_pointer& answer)
    {
        cloud_order wanted;
        wanted.client_token = body.at("client_token").get<std::string>();
        wanted.service = body.at("service").get<std::string>();
        wanted.zone = body.at("zone").get<std::string>();
        wanted.type = body.at("type").get<std::string>();
        wanted.reclaimable = body.value("reclaimable", true);
        const auto host = this->faults.cloud_refuse ? std::nullopt : this->cloud.order(wanted);
        if (!host) {
            refuse(*answer, 409, "no such host to give");
            return;
        }
        if (!this->faults.cloud_no_start) {
            this->loop.call_after(this->settings.host_start, [this, name = *host] {
                this->cloud.start(name, this->loop.now());
            });
        }
        this->send_unless_lost(answer, {{"host", *host}});
    }

    void release_host(const std::string& host, const answer_pointer& answer)
    {
        if (!this->cloud.release(host, this->loop.now())) {
            send_found(answer, false);
            return;
        }
        this->send_unless_lost(answer, json::object());
    }

    void send_unless_lost(const answer_pointer& answer, const json& body)
    {
        if (random_unit(this->random) < this->faults.cloud_lose_answers) {
            answer->abort();
            return;
        }
        send(answer, body);
    }

    void announce_reclaim(const json& body, const answer_pointer& answer)
    {
        const auto host = body.at("host").get<std::string>();
        const milliseconds span{body.at("in_ms").get<std::int64_t>()};
        const auto taken_at = this->loop.wall_now() + span;
        const auto known = this->cloud.announce_reclaim(host, taken_at, this->loop.now());
        if (known) {
            this->loop.call_after(span, [this, host] { this->cloud.take(host, this->loop.now()); });
        }
        send_found(answer, known);
    }

    void fetch_weights(const std::string& model, const answer_pointer& answer)
    {
        if (!this->weights.take(this->loop.now())) {
            refuse(*answer, 429, "over the rate of the weight store", {{"Retry-After", "1"}});
            return;
        }
        send(answer, {{"model", model}, {"bytes", this->settings.weight_bytes}});
    }

    void set_faults(const json& wanted)
    {
        auto next = this->faults;
        const auto set_time = [&](const char* name, duration& value) {
            if (wanted.contains(name)) {
                value = milliseconds{wanted.at(name).get<std::int64_t>()};
            }
        };
        next.log_down = wanted.value("log_down", next.log_down);
        set_time("log_slow_ms", next.log_slow);
        next.log_lose_answers = wanted.value("log_lose_answers", next.log_lose_answers);
        next.hosts_down = wanted.value("hosts_down", next.hosts_down);
        set_time("hosts_lag_ms", next.hosts_lag);
        next.cloud_down = wanted.value("cloud_down", next.cloud_down);
        next.cloud_lose_answers = wanted.value("cloud_lose_answers", next.cloud_lose_answers);
        next.cloud_refuse = wanted.value("cloud_refuse", next.cloud_refuse);
        next.cloud_no_start = wanted.value("cloud_no_start", next.cloud_no_start);
        this->faults = next;
    }

    static void send(const answer_pointer& answer, const json& body)
    {
        answer->send(200, body.dump(), json_fields());
    }

    static void send_found(const answer_pointer& answer, bool found)
    {
        if (!found) {
            refuse(*answer, 404, "no such host");
            return;
        }
        send(answer, json::object());
    }

    /// What follows `prefix`; empty if `text` does not begin with it.
    static std::string tail(const std::string& text, const std::string& prefix)
    {
        return text.starts_with(prefix) ? text.substr(prefix.size()) : std::string{};
    }

    platform_standin_settings settings;
    event_loop& loop;
    platform_faults faults;
    seeded_random random;
    log_service log;
    cloud_account cloud;
    token_bucket weights;
    http_server server;
};

platform_standin::platform_standin(const platform_standin_settings& settings, event_loop& loop)
    : inner(std::make_unique<implementation>(settings, loop))
{
}

platform_standin::~platform_standin() = default;

std::uint16_t platform_standin::port() const
{
    return this->inner->server.port();
}

} // namespace eelgrassbend::standin
