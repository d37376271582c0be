#ifndef EELGRASSBEND_UNITTESTS_FAKES_VIRTUAL_FLEET_H
#define EELGRASSBEND_UNITTESTS_FAKES_VIRTUAL_FLEET_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/bundle/signing.h"
#include "eelgrassbend/entry/decision_services.h"
#include "eelgrassbend/entry/entry_status.h"
#include "eelgrassbend/entry/serving_service.h"
#include "eelgrassbend/kernel/component_service.h"
#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/logging/json_event_log.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/platform/cloud_api.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_datagrams.h"
#include "fakes/fake_log.h"
#include "fakes/fake_peer_rpc.h"
#include "fakes/node_scheduler.h"
#include "fakes/virtual_endpoints.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend::fakes {

/// What the platform tells all nodes; the list lags.
struct virtual_platform {
    explicit virtual_platform(virtual_scheduler& time) : time(time), log(time) {}

    virtual_scheduler& time;
    fake_log log;
    std::vector<host_entry> hosts;
    std::vector<reclaim_notice> notices;
    bool hosts_down = false;
    bool cloud_down = false;

    void announce(const std::string& host, duration in)
    {
        this->notices.push_back(
            {this->notices.size(), host_name{host}, this->time.wall_now() + in});
    }
};

/// The host list as one node reads it.
class virtual_host_list : public host_list {
public:
    virtual_host_list(virtual_platform& platform, scheduler& node) : platform(platform), node(node)
    {
    }

    void fetch(handler done) override
    {
        this->node.call_after(std::chrono::milliseconds{1}, [this, done = std::move(done)] {
            if (this->platform.hosts_down) {
                done(make_error(errc::unavailable, "read host list", "platform"));
                return;
            }
            done(this->platform.hosts);
        });
    }

private:
    virtual_platform& platform;
    scheduler& node;
};

/// The cloud API as one node reads it; it orders nothing.
class virtual_cloud : public cloud_api {
public:
    virtual_cloud(virtual_platform& platform, scheduler& node) : platform(platform), node(node) {}

    void fetch_notices(std::uint64_t from, notices_handler handler) override
    {
        this->node.call_after(
            std::chrono::milliseconds{1}, [this, from, handler = std::move(handler)] {
                if (this->platform.cloud_down) {
                    handler(make_error(errc::unavailable, "read notices", "platform"));
                    return;
                }
                std::vector<reclaim_notice> fresh;
                for (const auto& notice : this->platform.notices) {
                    if (notice.sequence >= from) {
                        fresh.push_back(notice);
                    }
                }
                handler(std::move(fresh));
            });
    }

    void order(const host_order&, order_handler handler) override
    {
        handler(make_error(errc::unavailable, "order host", "platform"));
    }

    void release(const host_name&, done_handler handler) override
    {
        handler(make_error(errc::unavailable, "release host", "platform"));
    }

    void list(std::function<void(result<std::vector<std::pair<std::string, host_entry>>>)> handler)
        override
    {
        handler(make_error(errc::unavailable, "list hosts", "platform"));
    }

private:
    virtual_platform& platform;
    scheduler& node;
};

/// Keeps the log lines of all nodes in their order.
class shared_event_log : public event_log {
public:
    shared_event_log(std::vector<std::string>& lines, const clock_source& clock, node_id node)
        : lines(lines), clock(clock), node(std::move(node))
    {
    }

    void write(log_level level, std::string_view event, const nlohmann::json& fields) override
    {
        this->lines.push_back(
            format_log_line(this->clock.wall_now(), level, this->node, event, fields));
    }

private:
    std::vector<std::string>& lines;
    const clock_source& clock;
    node_id node;
};

/// What one caller receives.
class virtual_exchange : public exchange {
public:
    void respond(int answered, header_list sent, std::string text,
                 delivered_handler handler) override
    {
        if (this->start_answer(answered, std::move(sent))) {
            this->body += text;
        }
        this->end(std::move(handler));
    }

    void start(int answered, header_list sent) override
    {
        this->start_answer(answered, std::move(sent));
    }

    void send(std::string bytes) override
    {
        if (!this->lost) {
            this->body += bytes;
        }
    }

    void finish(std::string bytes, delivered_handler handler) override
    {
        this->send(std::move(bytes));
        this->end(std::move(handler));
    }

    void abort() override { this->lost = true; }

    void on_caller_disconnected(std::function<void()> handler) override
    {
        this->gone = std::move(handler);
    }

    /// The connection breaks: nothing arrives any more, and the node may notice.
    void break_connection(bool noticed)
    {
        this->lost = true;
        auto handler = std::exchange(this->gone, nullptr);
        if (noticed && handler && !this->ended) {
            handler();
        }
    }

    [[nodiscard]] std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }

    int status = 0;
    header_list headers;
    std::string body;
    bool ended = false; ///< the whole answer arrived
    bool lost = false;  ///< the connection broke before that

private:
    bool start_answer(int answered, header_list sent)
    {
        if (this->lost) {
            return false;
        }
        this->status = answered;
        this->headers = std::move(sent);
        return true;
    }

    void end(delivered_handler handler)
    {
        this->ended = !this->lost;
        if (!handler) {
            return;
        }
        if (this->lost) {
            handler(make_error(errc::unavailable, "send answer", "caller"));
            return;
        }
        handler(boost::outcome_v2::success());
    }

    std::function<void()> gone;
};

/// One entry node with everything that decides, on fakes.
class virtual_node {
public:
    virtual_node(virtual_scheduler& time, virtual_platform& platform, virtual_endpoints& endpoints,
                 fake_network& datagrams, fake_peer_network& calls, std::vector<std::string>& lines,
                 entry_settings given, std::uint64_t seed)
        : settings(std::move(given)), clock(time), random(seed)
    {
        this->register_fakes(platform, endpoints, datagrams, calls, lines);
        auto added = add_decision_services(this->core, this->settings);
        if (!added) {
            throw std::logic_error(added.error().to_string());
        }
        added = this->core.add(
            "node", {"serving", "status", "membership"}, [this](const resolved_services& needs) {
                this->request_handler = &needs.get<serving_service>("serving").request_handler();
                this->status = &needs.get<entry_status>("status");
                this->members = &needs.get<membership>("membership");
                return std::make_shared<component_service<nothing>>();
            });
        if (!added) {
            throw std::logic_error(added.error().to_string());
        }
        added = this->core.start();
        if (!added) {
            throw std::logic_error(added.error().to_string());
        }
    }

    [[nodiscard]] std::uint64_t bundle_version() const
    {
        return nlohmann::json::parse(this->status->status_json())["bundle_version"];
    }

    [[nodiscard]] bool ready() const
    {
        return nlohmann::json::parse(this->status->status_json())["ready"];
    }

    entry_settings settings;
    node_scheduler clock;
    seeded_random random;
    kernel core;
    entry_handler* request_handler = nullptr;
    entry_status* status = nullptr;
    membership* members = nullptr;
    fake_log_client* log = nullptr;
    bool alive = true;

private:
    struct nothing {};

    /// Registers an object that outlives the kernel, or is made for it.
    template <typename Fake, typename... Arguments>
    void add_fake(const std::string& name, Arguments&... arguments)
    {
        auto added = this->core.add(name, {}, [&arguments...](const resolved_services&) {
            return std::make_shared<component_service<Fake>>(arguments...);
        });
        if (!added) {
            throw std::logic_error(added.error().to_string());
        }
    }

    void register_fakes(virtual_platform& platform, virtual_endpoints& endpoints,
                        fake_network& datagrams, fake_peer_network& calls,
                        std::vector<std::string>& lines)
    {
        this->add_fake<forwarding_scheduler>("scheduler", this->clock);
        this->add_fake<forwarding_random>("random", this->random);
        this->add_fake<shared_event_log>("event_log", lines, this->clock, this->settings.node);
        this->add_fake<virtual_host_list>("host_list", platform, this->clock);
        this->add_fake<virtual_cloud>("cloud_api", platform, this->clock);
        this->add_fake<fake_datagrams>("datagrams", datagrams, this->settings.datagrams);
        this->add_fake<fake_peer_rpc>("peer_rpc", calls, this->clock, this->settings.calls);
        this->add_fake<virtual_endpoint_client>("endpoint_client", endpoints, this->clock);
        this->add_fake<virtual_probe>("endpoint_probe", endpoints, this->clock);
        auto added = this->core.add("platform_log", {}, [&](const resolved_services&) {
            auto made = std::make_shared<component_service<fake_log_client>>(
                platform.log, this->clock, this->random);
            this->log = made.get();
            return made;
        });
        if (!added) {
            throw std::logic_error(added.error().to_string());
        }
    }

    class forwarding_scheduler : public scheduler {
    public:
        explicit forwarding_scheduler(node_scheduler& clock) : clock(clock) {}

        [[nodiscard]] monotonic_time now() const override { return this->clock.now(); }

        [[nodiscard]] wall_time wall_now() const override { return this->clock.wall_now(); }

        timer_id call_after(duration delay, callback action) override
        {
            return this->clock.call_after(delay, std::move(action));
        }

        void cancel(timer_id timer) override { this->clock.cancel(timer); }

    private:
        node_scheduler& clock;
    };

    class forwarding_random : public random_source {
    public:
        explicit forwarding_random(seeded_random& random) : random(random) {}

        result_type operator()() override { return this->random(); }

    private:
        seeded_random& random;
    };
};

/// A deployment in one process: entry nodes, endpoints and the platform under virtual time.
class virtual_fleet {
public:
    explicit virtual_fleet(std::uint64_t seed)
        : random(seed),
          platform(time),
          endpoints(time),
          datagrams(time, random),
          calls{time, random},
          operator_key(load_signing_key(std::string(64, '7')).value())
    {
    }

    ~virtual_fleet()
    {
        // Callbacks that are pending refer to the nodes.
        for (auto& node : this->nodes) {
            node->clock.kill();
        }
    }

    virtual_fleet(const virtual_fleet&) = delete;
    virtual_fleet& operator=(const virtual_fleet&) = delete;

    void add_endpoint(const std::string& name, const std::string& service, const std::string& zone,
                      standin::endpoint_mode mode)
    {
        host_entry host;
        host.name = host_name{name};
        host.service = service_id{service};
        host.zone = availability_zone{zone};
        host.type = machine_class{"standard"};
        host.address = {"10.0.0.1", static_cast<std::uint16_t>(20'000 + this->next_endpoint++)};
        standin::engine_standin_settings settings;
        settings.name = name;
        settings.service = service;
        settings.mode = mode;
        settings.engine.initial_model = model_id{"model"};
        this->endpoints.add(host, settings);
        this->platform.hosts.push_back(host);
    }

    virtual_node& add_node(const std::string& zone)
    {
        const auto number = this->nodes.size() + 1;
        entry_settings settings;
        settings.node = node_id{"entry-" + std::to_string(number)};
        settings.region = region_name{"region-1"};
        settings.zone = availability_zone{zone};
        const auto port = static_cast<std::uint16_t>(10'000 + number);
        settings.callers = {"10.0.0.2", port};
        settings.calls = {"10.0.0.3", port};
        settings.datagrams = {"10.0.0.2", port};
        settings.trusted_operators = {{"amina", this->operator_key.public_key}};
        settings.peer_keys = {{1, "0123456789abcdef"}};
        this->nodes.push_back(std::make_unique<virtual_node>(
            this->time, this->platform, this->endpoints, this->datagrams, this->calls, this->lines,
            settings, this->random()));
        host_entry host;
        host.name = host_name{settings.node.value()};
        host.role = host_role::entry;
        host.zone = settings.zone;
        host.address = settings.callers;
        this->platform.hosts.push_back(host);
        return *this->nodes.back();
    }

    /// Appends the bundle, signed, as the next version.
    void publish(bundle rules)
    {
        rules.replaces = this->published;
        rules.version = this->published + bundle_version{1};
        rules.operators = {{"amina", this->operator_key.public_key}};
        this->published = rules.version;
        auto sealed = make_signed_bundle(rules);
        if (!add_signature(sealed, this->operator_key)) {
            throw std::logic_error("cannot sign");
        }
        this->platform.log.append(stream_name{"bundles"},
                                  {{bundle_record_id(sealed), encode_record(sealed)}});
    }

    std::shared_ptr<virtual_exchange> send(virtual_node& node, http_request request)
    {
        auto answer = std::make_shared<virtual_exchange>();
        node.clock.call_after(duration::zero(), [&node, request = std::move(request), answer] {
            node.request_handler->handle(request, answer);
        });
        return answer;
    }

    /// The node's process ends at once.
    void kill(virtual_node& node)
    {
        node.alive = false;
        node.clock.kill();
        this->calls.unreachable.insert(node.settings.calls);
    }

    /// The billed lines in the platform's log.
    [[nodiscard]] std::vector<ledger_line> billed()
    {
        ledger_fold fold;
        const auto page = this->platform.log.read(stream_name{std::string{ledger_stream}},
                                                  log_offset{0}, 1'000'000);
        for (const auto& record : page.records) {
            fold.add(record);
        }
        return fold.lines();
    }

    /// Executions of all endpoints, dead ones too.
    [[nodiscard]] std::vector<nlohmann::json> executions() const
    {
        std::vector<nlohmann::json> list;
        for (const auto& [address, entry] : this->endpoints.all()) {
            std::istringstream text{entry->executions.lines()};
            std::string line;
            while (std::getline(text, line)) {
                list.push_back(nlohmann::json::parse(line));
            }
        }
        return list;
    }

    virtual_scheduler time;
    seeded_random random;
    std::vector<std::string> lines; ///< log lines of all nodes
    virtual_platform platform;
    virtual_endpoints endpoints;
    fake_network datagrams;
    fake_peer_network calls;
    std::vector<std::unique_ptr<virtual_node>> nodes;
    bundle_version published;

private:
    signing_key operator_key;
    std::size_t next_endpoint = 0;
};

/// A bundle with a model service, a plain service and two organisations, keys "key-1", "key-2".
inline bundle example_bundle()
{
    service_spec draft;
    draft.id = service_id{"draft-llm"};
    draft.model = model_id{"model"};
    draft.routing_policy = "predictive";
    draft.first_token_target = std::chrono::seconds{2};
    draft.between_tokens_target = std::chrono::milliseconds{51};
    draft.request_deadline = std::chrono::seconds{120};
    draft.quick_slot_share = 0.25;
    draft.retry_budget = 1.0;
    draft.prices = {money{10}, money{1000}, money{2000}};
    service_spec desk;
    desk.id = service_id{"order-desk"};
    desk.kind = service_kind::plain;
    desk.routing_policy = "least_outstanding";
    desk.request_deadline = std::chrono::seconds{20};
    desk.repeatable_methods = {"GET"};
    desk.prices = {money{5}, money{0}, money{0}};
    bundle rules;
    rules.services = {draft, desk};
    int number = 0;
    for (const char* name : {"lodge", "venue"}) {
        organisation_spec organisation;
        organisation.id = organisation_id{name};
        organisation.key_sha256 = sha256_hex("key-" + std::to_string(++number));
        organisation.services = {draft.id, desk.id};
        rules.organisations.push_back(organisation);
    }
    return rules;
}

} // namespace eelgrassbend::fakes

#endif
