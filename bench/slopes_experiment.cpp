#include "allocation_count.h"
#include "experiments.h"

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/bundle/bundle_record.h"
#include "eelgrassbend/bundle/signing.h"
#include "eelgrassbend/claims/claim_record.h"
#include "eelgrassbend/claims/claim_table.h"
#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/limits/limit_peers.h"
#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/serving/stream_state.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/uuid.h"
#include "eelgrassbend/support/virtual_scheduler.h"
#include "fakes/bundle_view.h"
#include "fakes/endpoint_directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend::bench {

namespace {

/// A straight line through measured points.
struct fitted_line {
    double slope = 0.0;
    double intercept = 0.0;
    double residual = 0.0; ///< largest distance of a point from the line, as a share of its value
};

/// What one role needs as one number grows.
struct measured_slope {
    std::string role;
    std::string what;
    std::string per;
    std::vector<double> sizes;
    std::vector<double> values;
};

class slopes_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "slopes"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "state and message bytes of each role as one number grows, with a fitted line";
    }

    int run(const experiment_options& options, std::ostream& out) override;
};

} // namespace

std::unique_ptr<experiment> make_slopes_experiment()
{
    return std::make_unique<slopes_experiment>();
}

static fitted_line fit(const std::vector<double>& sizes, const std::vector<double>& values)
{
    const auto count = static_cast<double>(sizes.size());
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        sum_x += sizes[index];
        sum_y += values[index];
        sum_xx += sizes[index] * sizes[index];
        sum_xy += sizes[index] * values[index];
    }
    fitted_line line;
    line.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    line.intercept = (sum_y - line.slope * sum_x) / count;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const auto expected = line.intercept + line.slope * sizes[index];
        const auto distance = std::abs(values[index] - expected) / std::max(1.0, values[index]);
        line.residual = std::max(line.residual, distance);
    }
    return line;
}

static void write(const measured_slope& measured, std::ostream& out)
{
    const auto line = fit(measured.sizes, measured.values);
    const nlohmann::ordered_json text{{"role", measured.role},       {"what", measured.what},
                                      {"per", measured.per},         {"sizes", measured.sizes},
                                      {"values", measured.values},   {"slope", line.slope},
                                      {"intercept", line.intercept}, {"residual", line.residual}};
    out << text.dump() << "\n";
}

static double used_bytes()
{
    return static_cast<double>(allocated_bytes());
}

/// Heap bytes of what `build` makes for each size.
template <typename Build>
static measured_slope state_slope(std::string role, std::string per, std::vector<double> sizes,
                                  Build build)
{
    measured_slope measured{std::move(role), "state bytes", std::move(per), std::move(sizes), {}};
    for (const auto size : measured.sizes) {
        const auto before = used_bytes();
        const auto held = build(static_cast<std::size_t>(size));
        measured.values.push_back(used_bytes() - before);
    }
    return measured;
}

/// Bytes of what `encode` makes for each size.
template <typename Encode>
static measured_slope byte_slope(std::string role, std::string what, std::string per,
                                 std::vector<double> sizes, Encode encode)
{
    measured_slope measured{std::move(role), std::move(what), std::move(per), std::move(sizes), {}};
    for (const auto size : measured.sizes) {
        measured.values.push_back(
            static_cast<double>(encode(static_cast<std::size_t>(size)).size()));
    }
    return measured;
}

static bundle make_rules(std::size_t organisations)
{
    bundle rules;
    rules.version = bundle_version{1};
    service_spec service;
    service.id = service_id{"draft-llm"};
    service.model = model_id{"badge-draft-8b"};
    service.routing_policy = "predictive";
    service.first_token_target = std::chrono::seconds{2};
    service.between_tokens_target = std::chrono::milliseconds{51};
    service.request_deadline = std::chrono::minutes{3};
    rules.services = {service};
    rules.operators = {{"operator-a", std::string(64, 'a')}};
    for (std::size_t number = 0; number < organisations; ++number) {
        organisation_spec organisation;
        organisation.id = organisation_id{"organisation-" + std::to_string(number)};
        organisation.key_sha256 = sha256_hex(std::to_string(number));
        organisation.services = {service.id};
        organisation.requests_per_second = 40.0;
        rules.organisations.push_back(organisation);
    }
    return rules;
}

static endpoint_info make_endpoint(std::size_t number)
{
    endpoint_info info;
    info.id = endpoint_id{"endpoint-" + std::to_string(number)};
    info.service = service_id{"draft-llm"};
    info.zone = availability_zone{"zone-" + std::to_string(number % 10)};
    info.type = machine_class{"standard"};
    return info;
}

/// A router that has sent one request to each of its endpoints.
struct filled_router {
    explicit filled_router(std::size_t count)
        : bundles(make_rules(1)), routes(time, random, this->endpoints, bundles)
    {
        route_request request;
        request.service = service_id{"draft-llm"};
        request.prompt_tokens = token_count{400};
        request.expected_output = token_count{100};
        for (std::size_t number = 0; number < count; ++number) {
            this->endpoints.set(make_endpoint(number));
        }
        for (const auto& info : this->endpoints.endpoints(request.service)) {
            const attempt_id attempt{info.id.value() + "/1"};
            static_cast<void>(this->routes.choose(request));
            this->routes.on_dispatched(attempt, info.id, request);
            this->routes.report_load(info.id, load_report{time.wall_now(), 16, 1, 0, {}, 20.0});
        }
    }

    virtual_scheduler time;
    seeded_random random{1};
    fakes::directory endpoints;
    fakes::fixed_bundle bundles;
    service_router routes;
};

static std::string encoded_bundle(std::size_t organisations)
{
    auto sealed = make_signed_bundle(make_rules(organisations));
    const auto key = load_signing_key(std::string(64, '7')).value();
    static_cast<void>(add_signature(sealed, key));
    return encode_record(sealed);
}

static stream_state make_stream(std::size_t tokens)
{
    stream_state state;
    state.request = request_id{"entry-100-01a23f37-e486-7cc4-a695-20a9e5d825f6"};
    state.body_digest = std::string(64, '0');
    for (std::size_t index = 0; index < tokens; ++index) {
        state.text += " layout";
        state.token_ends.push_back(static_cast<std::uint32_t>(state.text.size()));
    }
    return state;
}

static std::string encoded_shares(std::size_t organisations)
{
    limit_share_message message;
    message.from = node_id{"entry-100"};
    for (std::size_t number = 0; number < organisations; ++number) {
        message.usages.push_back(
            {organisation_id{"organisation-" + std::to_string(number)}, 12.5, 0.125});
    }
    return encode(message);
}

static std::string encoded_lines(std::size_t lines)
{
    ledger_line line;
    line.request = request_id{"entry-100-01a23f37-e486-7cc4-a695-20a9e5d825f6"};
    line.attempt = attempt_id{line.request.value() + "/1"};
    line.organisation = organisation_id{"serengeti-lodges"};
    line.service = service_id{"draft-llm"};
    line.endpoint = endpoint_id{"draft-llm-1234"};
    line.answer_digest = std::string(64, '0');
    std::string all;
    for (std::size_t number = 0; number < lines; ++number) {
        all += encode_ledger_line(line);
    }
    return all;
}

static std::string encoded_claims(std::size_t claims)
{
    virtual_scheduler time;
    seeded_random random{2};
    std::string all;
    for (std::size_t number = 0; number < claims; ++number) {
        claim_record record;
        const idempotency_key key{make_uuid_v7(time.wall_now(), random)};
        record.key = make_claim_key("lodge/order-desk", key).value();
        record.request = request_id{"entry-100-" + key.value()};
        record.node = node_id{"entry-100"};
        all += encode_claim_record(record);
        record.kind = claim_record_kind::finished;
        record.outcome = {201, "application/json", std::string(120, 'x'), std::string(64, '0')};
        all += encode_claim_record(record);
    }
    return all;
}

int slopes_experiment::run(const experiment_options&, std::ostream& out)
{
    const std::vector<double> endpoints{16, 200, 600, 1800};
    const std::vector<double> few{5, 50, 200, 400};
    const std::vector<double> many{100, 1000, 4000, 16'000};
    write(state_slope("router", "endpoint", endpoints,
                      [](std::size_t size) { return std::make_unique<filled_router>(size); }),
          out);
    write(state_slope(
              "bundle follower", "organisation", few,
              [](std::size_t size) { return std::make_shared<const bundle>(make_rules(size)); }),
          out);
    write(byte_slope("bundle follower", "record bytes", "organisation", few, encoded_bundle), out);
    write(state_slope(
              "callers' front", "token kept of a stream", many,
              [](std::size_t size) { return std::make_shared<stream_state>(make_stream(size)); }),
          out);
    write(byte_slope("hand-over", "message bytes", "token of a stream", many,
                     [](std::size_t size) { return encode_stream_state(make_stream(size)); }),
          out);
    write(byte_slope("limits", "message bytes", "organisation", few, encoded_shares), out);
    write(byte_slope("ledger", "log bytes", "line", few, encoded_lines), out);
    write(byte_slope("claim batcher", "log bytes", "claim with outcome", few, encoded_claims), out);
    return 0;
}

} // namespace eelgrassbend::bench
