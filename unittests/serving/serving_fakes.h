#ifndef EELGRASSBEND_UNITTESTS_SERVING_SERVING_FAKES_H
#define EELGRASSBEND_UNITTESTS_SERVING_SERVING_FAKES_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/discovery/entry_directory.h"
#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/routing/limiter.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/serving/entry_handler.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/stream_store.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_membership.h"
#include "fakes/fake_metrics.h"
#include "fakes/fake_peer_rpc.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Records the answer that a caller would receive.
class fake_exchange : public exchange {
public:
    void respond(int status_code, header_list sent, std::string text,
                 delivered_handler handler) override
    {
        this->status = status_code;
        this->headers = std::move(sent);
        this->body = std::move(text);
        this->end(std::move(handler));
    }

    void start(int status_code, header_list sent) override
    {
        this->status = status_code;
        this->headers = std::move(sent);
    }

    void send(std::string bytes) override { this->body += bytes; }

    void finish(std::string bytes, delivered_handler handler) override
    {
        this->body += bytes;
        this->end(std::move(handler));
    }

    void abort() override { this->aborted = true; }

    void on_caller_disconnected(std::function<void()> handler) override
    {
        this->disconnect_handler = std::move(handler);
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
    bool ended = false;
    bool aborted = false;
    bool deliverable = true;
    std::function<void()> disconnect_handler;

private:
    void end(delivered_handler handler)
    {
        this->ended = true;
        if (!handler) {
            return;
        }
        if (this->deliverable) {
            handler(boost::outcome_v2::success());
        }
        else {
            handler(make_error(errc::unavailable, "send answer", "caller", "gone"));
        }
    }
};

/// Records attempts; the test emulates the endpoint.
class fake_endpoint_client : public endpoint_client {
public:
    struct sent_attempt {
        network_address address;
        endpoint_request request;
        attempt_observer* observer = nullptr; ///< null once cancelled
    };

    std::unique_ptr<attempt_handle> dispatch(const network_address& address,
                                             endpoint_request request,
                                             attempt_observer& observer) override
    {
        const auto sent =
            std::make_shared<sent_attempt>(sent_attempt{address, std::move(request), &observer});
        this->attempts.push_back(sent);
        return std::make_unique<handle>(sent);
    }

    void forget(const network_address& address) override { this->forgotten.push_back(address); }

    [[nodiscard]] sent_attempt& last() const { return *this->attempts.back(); }

    std::vector<std::shared_ptr<sent_attempt>> attempts;
    std::vector<network_address> forgotten;

private:
    class handle : public attempt_handle {
    public:
        explicit handle(std::shared_ptr<sent_attempt> sent) : sent(std::move(sent)) {}

        handle(const handle&) = delete;
        handle& operator=(const handle&) = delete;

        ~handle() override { this->sent->observer = nullptr; }

    private:
        std::shared_ptr<sent_attempt> sent;
    };
};

class fake_router : public router {
public:
    result<route_decision> choose(const route_request& request) override
    {
        if (this->has_no_endpoints) {
            this->order.clear();
        }
        for (const auto& id : this->order) {
            const bool tried = std::find(request.excluded.begin(), request.excluded.end(), id) !=
                               request.excluded.end();
            if (!tried) {
                return route_decision{id, "fake", "first", bundle_version{1}, {}};
            }
        }
        const auto code = this->has_no_endpoints ? errc::not_found : errc::unavailable;
        return make_error(code, "choose endpoint", request.service.value());
    }

    void on_dispatched(const attempt_id& attempt, const endpoint_id&, const route_request&) override
    {
        this->open.insert(attempt.value());
    }

    void on_progress(const attempt_id&, token_count) override {}

    void on_ended(const attempt_id& attempt, attempt_end) override
    {
        this->open.erase(attempt.value());
    }

    void on_usage(const attempt_id&, token_count, token_count) override {}

    [[nodiscard]] duration retry_after(const service_id&) const override
    {
        return std::chrono::seconds{3};
    }

    void report_load(const endpoint_id&, const load_report&) override {}

    void report_cache(const endpoint_id&, const cache_event&) override {}

    bool has_no_endpoints = false;
    std::vector<endpoint_id> order;
    std::set<std::string> open;
};

class fake_hedge_policy : public hedge_policy {
public:
    std::optional<duration> delay(const route_request&, const route_decision&) override
    {
        return std::chrono::milliseconds{100};
    }

    bool try_acquire(const service_id&) override { return this->budget-- > 0; }

    void on_first_token(const service_id&, request_class, duration) override {}

    int budget = 0;
};

class fake_endpoint_directory : public endpoint_directory {
public:
    [[nodiscard]] std::vector<endpoint_info> endpoints(const service_id&) const override
    {
        return this->list;
    }

    [[nodiscard]] std::optional<endpoint_info> find(const endpoint_id& id) const override
    {
        for (const auto& info : this->list) {
            if (info.id == id) {
                return info;
            }
        }
        return std::nullopt;
    }

    void on_change(std::function<void(const endpoint_info&)>) override {}

    std::vector<endpoint_info> list;
};

class fake_limiter : public limiter {
public:
    std::optional<limit_refusal> admit(const organisation_id&, const request_id& request,
                                       money) override
    {
        if (this->refuse) {
            return limit_refusal{"rate", std::chrono::milliseconds{1500}};
        }
        this->open.insert(request.value());
        return std::nullopt;
    }

    void release(const request_id& request, money) override { this->open.erase(request.value()); }

    bool refuse = false;
    std::set<std::string> open;
};

class fake_claims : public claim_service {
public:
    void claim(const std::string&, const idempotency_key&, const request_id&,
               claim_handler handler) override
    {
        handler(this->answer);
    }

    bool dispatch_allowed(const request_id&) override
    {
        return std::exchange(this->allowed, false);
    }

    void not_dispatched(const request_id&) override { this->allowed = true; }

    void release(const request_id&, done_handler) override { ++this->released; }

    void finish(const request_id&, recorded_outcome outcome, done_handler) override
    {
        this->finished.push_back(std::move(outcome));
    }

    void abandon(const request_id&) override { ++this->abandoned; }

    claim_answer answer{claim_state::granted, {}, {}};
    bool allowed = true;
    int released = 0;
    int abandoned = 0;
    std::vector<recorded_outcome> finished;
};

class fake_ledger : public ledger {
public:
    [[nodiscard]] bool accepts_work() const override { return this->has_capacity; }

    void intend(const ledger_line& line, done_handler handler) override
    {
        this->intended.push_back(line);
        handler(boost::outcome_v2::success());
    }

    void confirm(const request_id& request) override { this->confirmed.push_back(request); }

    void cancel(const request_id& request) override { this->cancelled.push_back(request); }

    void flush(done_handler handler) override { handler(boost::outcome_v2::success()); }

    [[nodiscard]] std::size_t waiting() const override { return 0; }

    bool has_capacity = true;
    std::vector<ledger_line> intended;
    std::vector<request_id> confirmed;
    std::vector<request_id> cancelled;
};

class fake_bundle_view : public bundle_view {
public:
    [[nodiscard]] std::shared_ptr<const bundle> current() const override { return this->rules; }

    [[nodiscard]] bool fresh() const override { return this->is_fresh; }

    std::shared_ptr<bundle> rules = std::make_shared<bundle>();
    bool is_fresh = true;
};

class fake_node_status : public node_status {
public:
    [[nodiscard]] std::string cannot_serve_reason() const override { return this->reason; }

    [[nodiscard]] bool is_stopping() const override { return this->has_stop_begun; }

    [[nodiscard]] std::string metrics_text() const override { return "metrics\n"; }

    [[nodiscard]] std::string status_json() const override { return "{}\n"; }

    std::string reason;
    bool has_stop_begun = false;
};

class fake_entry_directory : public entry_directory {
public:
    [[nodiscard]] entry_answer entries(const organisation_id&, const service_id&) const override
    {
        return {{{node_id{"entry-1"}, {"127.0.0.1", 8080}, availability_zone{"arusha-a"}, 1}},
                std::chrono::seconds{2}};
    }
};

/// An entry handler with fake dependencies, two endpoints and two organisations with the keys
/// "key-1" and "key-2".
struct serving_fixture {
    serving_fixture()
    {
        service_spec draft;
        draft.id = service_id{"draft-llm"};
        draft.model = model_id{"draft"};
        draft.request_deadline = std::chrono::seconds{60};
        draft.prices = {money{10}, money{1000}, money{2000}};
        service_spec desk;
        desk.id = service_id{"order-desk"};
        desk.kind = service_kind::plain;
        desk.request_deadline = std::chrono::seconds{10};
        desk.repeatable_methods = {"GET"};
        desk.prices = {money{5}, money{0}, money{0}};
        organisation_spec lodge;
        lodge.id = organisation_id{"lodge"};
        lodge.key_sha256 = sha256_hex("key-1");
        lodge.services = {draft.id, desk.id};
        organisation_spec venue;
        venue.id = organisation_id{"venue"};
        venue.key_sha256 = sha256_hex("key-2");
        venue.services = {desk.id};
        this->streams.start();
        this->streams.set_running_stream_handler(
            [this](const request_id& request) { return this->handler.release_stream(request); });
        this->bundles.rules->version = bundle_version{1};
        this->bundles.rules->services = {draft, desk};
        this->bundles.rules->organisations = {lodge, venue};
        for (const char* name : {"e1", "e2"}) {
            endpoint_info info;
            info.id = endpoint_id{name};
            info.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + name[1] - '0')};
            this->endpoints.list.push_back(info);
            this->routes.order.push_back(info.id);
        }
    }

    std::shared_ptr<fake_exchange> send(const std::string& method, const std::string& target,
                                        const std::string& body, header_list headers = {},
                                        const std::string& key = "key-1")
    {
        headers.emplace_back("Authorization", "Bearer " + key);
        auto answer = std::make_shared<fake_exchange>();
        this->last = answer;
        this->handler.handle({method, target, std::move(headers), body}, answer);
        return answer;
    }

    virtual_scheduler time;
    seeded_random random{1};
    fake_event_log log;
    fake_metrics counters;
    fake_bundle_view bundles;
    fake_limiter limits;
    fake_router routes;
    fake_endpoint_directory endpoints;
    fake_endpoint_client client;
    fake_claims claims;
    fake_hedge_policy hedges;
    fake_ledger usage_ledger;
    fake_peer_network network{time, random};
    fake_peer_rpc peers{network, time, {"127.0.0.1", 7001}};
    fake_membership members{{node_id{"entry-1"}}};
    stream_store streams{time, peers, members, {}};
    fake_entry_directory entries;
    fake_node_status status;
    serving_settings settings{node_id{"entry-1"}};
    serving_services services{settings, time,      random, log,    counters,     bundles, limits,
                              routes,   endpoints, client, claims, usage_ledger, streams, hedges};
    entry_handler handler{services, entries, status};
    std::shared_ptr<fake_exchange> last;
};

} // namespace eelgrassbend

#endif
