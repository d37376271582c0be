#ifndef EELGRASSBEND_UNITTESTS_SERVING_FORWARD_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_SERVING_FORWARD_FIXTURE_H

#include "eelgrassbend/admission/admission_controller.h"
#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/quarantine/crash_detector.h"
#include "eelgrassbend/serving/forward_handler.h"
#include "eelgrassbend/support/byte_budget.h"

#include "fakes/fake_reachability_probe.h"
#include "fakes/fake_stream_origins.h"
#include "serving_fakes.h"

#include <optional>

namespace eelgrassbend {

/// A minimal protocol with one header per field.
class test_protocol : public forward_protocol {
public:
    [[nodiscard]] forward_request_fields parse_request(const http_request& request) const override
    {
        forward_request_fields fields;
        fields.id = request_id{request.header("Id")};
        fields.host = request.header("Host");
        fields.key = request.header("Key");
        fields.last_event = request.header("Last-Event");
        fields.resumed_stream = request_id{request.header("Resumes")};
        if (const auto left = request.header("Time-Left-Ms"); !left.empty()) {
            fields.time_left = std::chrono::milliseconds{std::stol(left)};
        }
        // One character for each part.
        for (const char part : request.header("Parts")) {
            fields.parts.push_back({static_cast<std::uint64_t>(part), 10});
        }
        if (const auto tokens = request.header("Tokens"); !tokens.empty()) {
            fields.has_token_counts = true;
            fields.prompt_tokens = std::stol(tokens);
        }
        if (const auto tokens = request.header("Output-Tokens"); !tokens.empty()) {
            fields.max_output_tokens = std::stol(tokens);
        }
        return fields;
    }

    [[nodiscard]] header_list
    endpoint_headers(const http_request& request,
                     const forward_attempt_fields& attempt_fields) const override
    {
        return {
            {"Id", request.header("Id")},
            {"Endpoint", attempt_fields.endpoint.value()},
            {"Organisation", attempt_fields.organisation.value()},
            {"Last-Event", attempt_fields.last_event},
            {"Memory-Source", attempt_fields.kv_cache_source},
            {"Time-Left-Ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                attempt_fields.time_left.value_or(duration{}))
                                                .count())}};
    }

    [[nodiscard]] forward_answer_fields parse_answer(int status,
                                                     const header_list& headers) const override
    {
        forward_answer_fields answer;
        answer.status = status;
        answer.headers = headers;
        for (const auto& [name, value] : headers) {
            answer.is_not_run = answer.is_not_run || name == "Not-Run";
            answer.is_signed = answer.is_signed || name == "Signature";
            answer.is_leaving = answer.is_leaving || name == "Leaving";
            if (name == "Content-Type") {
                answer.content_type = value;
            }
            answer.is_close_delimited = answer.is_close_delimited || name == "Close-Delimited";
            if (name == "No-Work-Ms") {
                answer.no_work_duration = std::chrono::milliseconds{std::stol(value)};
            }
            if (name == "Id") {
                answer.id = request_id{value};
            }
        }
        return answer;
    }

    [[nodiscard]] header_list refusal_headers(const forward_refusal& refused) const override
    {
        if (!refused.retry_after) {
            return {};
        }
        return {{"Retry-After", std::to_string(refused.retry_after->count())}};
    }
};

/// Records migrations; the test completes them.
class fake_run_migrator : public run_migrator {
public:
    struct requested_migration {
        network_address source;
        request_id run;
        network_address target;
        handler done;
    };

    void migrate(const network_address& source, const request_id& run,
                 const network_address& target, handler done) override
    {
        this->migrations.push_back({source, run, target, std::move(done)});
    }

    void request_leave_time(const network_address& engine, leave_time_handler done) override
    {
        this->leave_time_requests.push_back(engine);
        done(this->leaves_in);
    }

    std::vector<requested_migration> migrations;
    std::vector<network_address> leave_time_requests;
    std::optional<duration> leaves_in;
};

/// A forward handler with a model service and a plain service of two endpoints each, and one
/// organisation with the key "key-1".
struct forward_fixture {
    forward_fixture()
    {
        this->time.run_for(std::chrono::seconds{10});
        for (const char* service : {"draft", "desk"}) {
            for (const char* number : {"1", "2"}) {
                this->add_endpoint(service, std::string{service} + "-" + number);
            }
        }
        this->configuration.version = configuration_version{1};
        this->configuration.routes = {
            this->make_route("/long/", request_kind::stream, "draft", 1, false),
            this->make_route("/short/", request_kind::stream, "draft", 2, true),
            this->make_route("/order/", request_kind::non_idempotent, "desk", 1, false),
            this->make_route("/look/", request_kind::idempotent, "desk", 2, false)};
        routed_service draft;
        draft.id = service_id{"draft"};
        draft.engine = engine_traits{8, token_count{100'000}, true, std::chrono::seconds{5}, 100};
        routed_service desk;
        desk.id = service_id{"desk"};
        this->configuration.services = {draft, desk};
        organisation lodge;
        lodge.id = organisation_id{"lodge"};
        lodge.keys = {"key-1"};
        this->configuration.organisations = {lodge};
        this->apply();
    }

    void apply()
    {
        this->handler.set_route_table(std::make_shared<const route_table>(this->configuration));
        this->confirm();
        // The quota buckets of a new configuration fill over time.
        this->time.run_for(std::chrono::seconds{1});
        this->confirm();
    }

    void confirm() { this->handler.handle_configuration_confirmed(this->time.now()); }

    static route make_route(const std::string& prefix, request_kind kind,
                            const std::string& service, int endpoints, bool is_resumable)
    {
        route unique;
        unique.name = prefix;
        unique.host = "shop.example";
        unique.path_prefix = prefix;
        unique.kind = kind;
        unique.split = {{service_id{service}, 1.0}};
        unique.timeout = std::chrono::seconds{5};
        unique.objective = std::chrono::milliseconds{500};
        unique.max_endpoints = endpoints;
        unique.is_resumable = is_resumable;
        return unique;
    }

    void add_endpoint(const std::string& service, const std::string& id)
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = service_id{service};
        record.address = {"10.0.0." + id.substr(id.size() - 1),
                          static_cast<std::uint16_t>(service == "draft" ? 80 : 81)};
        record.slots = 4;
        this->endpoints.put(record, this->time.now());
    }

    std::shared_ptr<fake_exchange> send(const std::string& path, header_list headers = {},
                                        const std::string& key = "key-1")
    {
        headers.emplace_back("Host", "shop.example");
        headers.emplace_back("Id", "r-" + std::to_string(++this->sent));
        headers.emplace_back("Key", key);
        auto answer = std::make_shared<fake_exchange>();
        this->handler.handle({"POST", path, std::move(headers), "body"}, answer);
        return answer;
    }

    /// Sends the head of a signed answer to the latest attempt.
    void head(int status = 200, const header_list& others = {})
    {
        auto& attempt = this->client.last();
        header_list headers{{"Id", attempt.request.attempt.value()},
                            {"Signature", "p-" + this->endpoint()}};
        headers.insert(headers.end(), others.begin(), others.end());
        attempt.observer->on_head(status, headers);
    }

    void body(const std::string& bytes) { this->client.last().observer->on_body(bytes); }

    void complete() { this->client.last().observer->on_completed(); }

    void fail(dispatch_state dispatched)
    {
        this->client.last().observer->on_failed(make_error(errc::unavailable, "call", "endpoint"),
                                                dispatched);
    }

    /// Returns a header of the latest attempt.
    [[nodiscard]] std::string sent_header(const std::string& name) const
    {
        for (const auto& [key, value] : this->client.last().request.headers) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }

    /// Returns the endpoint of the latest attempt.
    [[nodiscard]] std::string endpoint() const { return this->sent_header("Endpoint"); }

    virtual_scheduler time;
    seeded_random random{3};
    fake_event_log log;
    fake_metrics counters;
    test_protocol protocol;
    fake_endpoint_client client;
    endpoint_table endpoints{std::chrono::seconds{1}};
    load_model loads;
    prompt_cache cache{100'000};
    engine_cost_estimator costs;
    placer places{this->endpoints, this->loads,  this->cache,
                  this->costs,     this->random, availability_zone{"a"}};
    fleet_quota quotas{std::chrono::seconds{8}};
    retry_budget retries{{0.2, 50.0}};
    usage_tracker usage{std::chrono::seconds{5}};
    fake_run_migrator migrator;
    demand_tracker demand;
    byte_budget answer_memory{4'000, 10'000};
    part_quarantine quarantine{this->log, this->counters, node_id{"front-1"}};
    fake_reachability_probe probes;
    crash_detector crashes{this->probes, this->quarantine, this->time, this->log, this->counters};
    fleet_capacity capacity{this->endpoints, this->loads, this->quotas};
    admission_controller admission{this->capacity, this->random};
    fakes::fake_stream_origins origins;
    forward_settings settings;
    forward_services services{settings, time,      random,    log,           counters, protocol,
                              client,   endpoints, loads,     cache,         places,   quotas,
                              retries,  usage,     migrator,  answer_memory, demand,   quarantine,
                              crashes,  costs,     admission, origins};
    forward_handler handler{services};
    routing_configuration configuration;
    int sent = 0;
};

/// A fixture whose endpoints can announce that they will be reclaimed.
struct leaving_fixture : forward_fixture {
    /// Announces the reclamation of the latest attempt's endpoint.
    void announce(duration leaves_in)
    {
        auto leaving = this->endpoints.find(endpoint_id{this->endpoint()})->record;
        leaving.is_draining = true;
        this->endpoints.put(leaving, this->time.now());
        leaving.reclaim_in = leaves_in;
        this->handler.handle_endpoint_leaving(leaving);
    }
};

} // namespace eelgrassbend

#endif
