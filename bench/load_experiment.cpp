#include "caller.h"
#include "experiments.h"
#include "fleet.h"

#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/uuid.h"

#include <absl/flags/flag.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, fleet, "", "load, audit: the fleet.json of a running fleet");
ABSL_FLAG(std::string, model_service, "", "load: the model service to ask");
ABSL_FLAG(std::string, plain_service, "", "load: the plain service to ask");
ABSL_FLAG(std::uint32_t, requests, 200, "load: number of requests");
ABSL_FLAG(double, rate, 40.0, "load: requests a second");
ABSL_FLAG(double, plain_share, 0.3, "load: share of requests to the plain service");
ABSL_FLAG(double, long_share, 0.08, "load: share of model requests that ask for long answers");

namespace eelgrassbend::bench {

namespace asio = boost::asio;
using nlohmann::json;
using clock = std::chrono::steady_clock;

static constexpr int most_tries = 8;
static constexpr std::int64_t quick_tokens = 24;
static constexpr std::int64_t long_answer_tokens = 300;

namespace {

/// One request of the plan, the same for the same seed.
struct planned_request {
    std::uint32_t number = 0;
    bool plain = false;
    bool order = false; ///< must not run twice
    bool stream = false;
    std::string key;
    fleet_organisation organisation;
    std::string body;
};

/// The entry hosts of an organisation and service, kept for their time to live.
struct kept_entries {
    std::vector<network_address> addresses;
    clock::time_point until;
};

class load_run {
public:
    load_run(fleet hosts, std::uint64_t seed, std::ostream& out)
        : hosts(std::move(hosts)), random(seed), out(out)
    {
    }

    asio::awaitable<void> start_all(asio::io_context& context);

private:
    planned_request plan(std::uint32_t number);
    std::string chat_body(bool long_answer, bool stream);
    asio::awaitable<void> carry_out(planned_request planned);
    asio::awaitable<network_address> choose_entry(const planned_request& planned);
    asio::awaitable<std::vector<network_address>> ask_entries(const planned_request& planned);
    [[nodiscard]] call_request make_call(const planned_request& planned) const;
    void write(const planned_request& planned, const call_answer& answer, int tries,
               bool only_refused, duration took);

    fleet hosts;
    seeded_random random;
    std::ostream& out;
    std::map<std::string, kept_entries> kept;
};

} // namespace

std::string load_run::chat_body(bool long_answer, bool stream)
{
    // Requests share their beginnings, as those of one layout or one form do.
    constexpr std::uint64_t layouts = 12;
    constexpr std::uint64_t prefix_words = 160;
    const auto layout = random_below(this->random, layouts);
    std::string text = "layout " + std::to_string(layout);
    for (std::uint64_t word = 0; word < prefix_words; ++word) {
        text += " field" + std::to_string(layout * 1000 + word);
    }
    text += " for guest " + std::to_string(this->random() % 1'000'000);
    json body;
    body["model"] = absl::GetFlag(FLAGS_model_service);
    body["messages"] = json::array({{{"role", "user"}, {"content", text}}});
    body["max_tokens"] = long_answer ? long_answer_tokens : quick_tokens;
    body["stream"] = stream;
    return body.dump();
}

planned_request load_run::plan(std::uint32_t number)
{
    planned_request planned;
    planned.number = number;
    planned.organisation =
        this->hosts.organisations[random_below(this->random, this->hosts.organisations.size())];
    planned.plain = random_unit(this->random) < absl::GetFlag(FLAGS_plain_share);
    if (planned.plain) {
        constexpr double order_share = 0.6;
        planned.order = random_unit(this->random) < order_share;
        const wall_time now = std::chrono::system_clock::now();
        planned.key = planned.order ? make_uuid_v7(now, this->random) : std::string{};
        planned.body = planned.order ? "{\"lanyards\":10}" : std::string{};
        return planned;
    }
    constexpr double stream_share = 0.7;
    const bool long_answer = random_unit(this->random) < absl::GetFlag(FLAGS_long_share);
    planned.stream = random_unit(this->random) < stream_share;
    planned.body = this->chat_body(long_answer, planned.stream);
    return planned;
}

asio::awaitable<std::vector<network_address>> load_run::ask_entries(const planned_request& planned)
{
    std::vector<network_address> addresses;
    const auto service = absl::GetFlag(planned.plain ? FLAGS_plain_service : FLAGS_model_service);
    auto order = this->hosts.entries;
    std::shuffle(order.begin(), order.end(), this->random);
    for (const auto& entry : order) {
        call_request request;
        request.address = entry.address;
        request.target =
            "/v1/entries?organisation=" + planned.organisation.name + "&service=" + service;
        request.timeout = std::chrono::seconds{1};
        const auto answer = co_await call(std::move(request));
        const auto body = json::parse(answer.body, nullptr, false);
        if (!answer.whole || answer.status != 200 || !body.is_object()) {
            continue;
        }
        for (const auto& choice : body["entries"]) {
            addresses.push_back(parse_url(choice["address"].get<std::string>()).value());
        }
        const std::chrono::milliseconds span{body["time_to_live_ms"].get<std::int64_t>()};
        this->kept[planned.organisation.name + "/" + service] = {addresses, clock::now() + span};
        break;
    }
    co_return addresses;
}

asio::awaitable<network_address> load_run::choose_entry(const planned_request& planned)
{
    const auto service = absl::GetFlag(planned.plain ? FLAGS_plain_service : FLAGS_model_service);
    const auto& found = this->kept[planned.organisation.name + "/" + service];
    auto addresses = found.addresses;
    if (addresses.empty() || clock::now() >= found.until) {
        addresses = co_await this->ask_entries(planned);
    }
    if (addresses.empty()) {
        addresses.push_back(this->hosts.entries.front().address);
    }
    co_return addresses[random_below(this->random, addresses.size())];
}

call_request load_run::make_call(const planned_request& planned) const
{
    call_request request;
    request.body = planned.body;
    request.headers = {{"Authorization", "Bearer " + planned.organisation.key},
                       {"Content-Type", "application/json"}};
    if (!planned.plain) {
        request.method = "POST";
        request.target = "/v1/chat/completions";
        return request;
    }
    request.method = planned.order ? "POST" : "GET";
    request.target = "/services/" + absl::GetFlag(FLAGS_plain_service) + "/orders?ms=15";
    if (planned.order) {
        request.headers.emplace_back("Idempotency-Key", planned.key);
    }
    return request;
}

/// Whether the caller has an answer that it need not ask for again.
static bool is_final(const planned_request& planned, const call_answer& answer)
{
    if (!answer.whole) {
        return false;
    }
    if (answer.status >= 200 && answer.status < 300) {
        return true;
    }
    // An order whose fate is unknown is asked for again under the same key.
    const bool permanent =
        answer.status >= 400 && answer.status < 500 && answer.status != 409 && answer.status != 429;
    return permanent || (!planned.order && answer.status == 500);
}

static duration pause_after(const call_answer& answer)
{
    constexpr std::chrono::milliseconds shortest{100};
    if (answer.retry_after.empty()) {
        return shortest;
    }
    return std::chrono::seconds{std::atoi(answer.retry_after.c_str())};
}

asio::awaitable<void> load_run::carry_out(planned_request planned)
{
    const auto began = clock::now();
    call_answer answer;
    bool only_refused = true;
    int tries = 0;
    while (tries < most_tries) {
        ++tries;
        auto request = this->make_call(planned);
        request.address = co_await this->choose_entry(planned);
        answer = co_await call(std::move(request));
        only_refused = only_refused && answer.outcome == "not-run";
        if (is_final(planned, answer)) {
            break;
        }
        asio::steady_timer timer{co_await asio::this_coro::executor};
        timer.expires_after(pause_after(answer));
        co_await timer.async_wait(asio::use_awaitable);
    }
    this->write(planned, answer, tries, only_refused, clock::now() - began);
}

/// The text of an answer, as its digest in the ledger covers it.
static std::string answer_text(const planned_request& planned, const call_answer& answer)
{
    if (planned.plain) {
        return answer.body;
    }
    if (!planned.stream) {
        const auto body = json::parse(answer.body, nullptr, false);
        return body.is_object() && body.contains("choices")
                   ? body["choices"][0]["message"]["content"].get<std::string>()
                   : std::string{};
    }
    std::string text;
    std::size_t position = 0;
    while (true) {
        position = answer.body.find("data: {", position);
        if (position == std::string::npos) {
            return text;
        }
        const auto end = answer.body.find('\n', position);
        const auto event =
            json::parse(answer.body.substr(position + 6, end - position - 6), nullptr, false);
        if (event.is_object() && event.contains("choices")) {
            text += event["choices"][0]["delta"].value("content", std::string{});
        }
        position = end;
    }
}

static double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void load_run::write(const planned_request& planned, const call_answer& answer, int tries,
                     bool only_refused, duration took)
{
    const bool ended = !planned.stream || answer.body.ends_with("data: [DONE]\n\n");
    const bool delivered = answer.whole && ended && answer.status >= 200 && answer.status < 300;
    json line{{"number", planned.number},
              {"kind", planned.plain ? (planned.order ? "order" : "lookup") : "model"},
              {"organisation", planned.organisation.name},
              {"key", planned.key},
              {"request", answer.request},
              {"status", answer.status},
              {"outcome", answer.outcome},
              {"replayed", !answer.replayed.empty()},
              {"delivered", delivered},
              {"only_refused", only_refused},
              {"tries", tries},
              {"failure", answer.failure},
              {"took_ms", milliseconds(took)}};
    line["digest"] = delivered ? sha256_hex(answer_text(planned, answer)) : "";
    if (!answer.arrivals.empty()) {
        line["first_ms"] = milliseconds(answer.arrivals.front());
    }
    this->out << line.dump() << "\n";
}

asio::awaitable<void> load_run::start_all(asio::io_context& context)
{
    asio::steady_timer timer{context};
    auto next = clock::now();
    const auto requests = absl::GetFlag(FLAGS_requests);
    for (std::uint32_t number = 0; number < requests; ++number) {
        std::exponential_distribution<double> gap{absl::GetFlag(FLAGS_rate)};
        next += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>{gap(this->random)});
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(context, this->carry_out(this->plan(number)), asio::detached);
    }
}

namespace {

/// Sends mixed real traffic to a running fleet as its callers would: asks for the entry hosts,
/// keeps the answer for its time to live, and comes back elsewhere when it is refused.
class load_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "load"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "mixed real traffic to a running fleet; one line for each request";
    }

    int run(const experiment_options& options, std::ostream& out) override;
};

} // namespace

std::unique_ptr<experiment> make_load_experiment()
{
    return std::make_unique<load_experiment>();
}

int load_experiment::run(const experiment_options& options, std::ostream& out)
{
    auto hosts = read_fleet(absl::GetFlag(FLAGS_fleet));
    if (!hosts) {
        std::cerr << hosts.error().to_string() << "\n";
        return 2;
    }
    asio::io_context context{1};
    load_run run{std::move(hosts.value()), options.seed, out};
    asio::co_spawn(context, run.start_all(context), asio::detached);
    context.run();
    return 0;
}

} // namespace eelgrassbend::bench
