#include "routing_run.h"

#include "fakes/bundle_view.h"
#include "fakes/endpoint_directory.h"
#include "fakes/fixed_membership.h"
#include "routing_figures.h"
#include "routing_flight.h"

#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace eelgrassbend::bench {

namespace {

constexpr duration warm_up = std::chrono::seconds{20};
constexpr duration measured = std::chrono::seconds{100};
constexpr duration drain = std::chrono::seconds{60};
constexpr duration report_interval = std::chrono::seconds{1};
constexpr duration peer_delay = std::chrono::milliseconds{1};
constexpr duration hedge_check_interval = std::chrono::milliseconds{50};
constexpr duration slot_sample = std::chrono::milliseconds{50};
constexpr double straggler_slowdown = 6.0;
constexpr std::size_t most_attempts = 3;
constexpr std::size_t zone_count = 4;

class routing_run : public engine_observer {
public:
    routing_run(const routing_fleet& deployment, const std::vector<work_item>& work,
                const run_options& options);

    nlohmann::json run();

    void on_token(const attempt_id& attempt, std::int64_t index, const std::string& text) override;
    void on_finished(const attempt_id& attempt, const engine_usage& usage,
                     finish_reason reason) override;
    void on_cancelled(const attempt_id& attempt, const engine_usage& usage) override;

private:
    using flight_pointer = std::shared_ptr<flight>;

    static bundle with_policy(bundle declared, const std::string& policy);
    void add_nodes();
    void start_arrivals();
    void schedule_stragglers();
    void poll(entry_node& node, std::size_t engine);
    void exchange_digests(std::size_t node);
    void sample_slots();
    void begin(const work_item& item);
    void next_closed();
    /// The node that a caller picks from the answer of discovery.
    [[nodiscard]] std::size_t node_for(const work_item& item) const;
    /// False if no endpoint took the request.
    bool attempt(const flight_pointer& started);
    void plan_hedge(const flight_pointer& started, const route_decision& decision);
    void check_hedge(const flight_pointer& started, monotonic_time due);
    void refuse(const flight_pointer& started);
    void cancel_losers(flight& won);
    void end_attempt(const attempt_id& attempt, attempt_end how);
    [[nodiscard]] duration undisturbed_first_token(const flight& done,
                                                   const engine_usage& usage) const;
    [[nodiscard]] double busy_cost() const;

    const routing_fleet& deployment;
    const std::vector<work_item>& work;
    run_options options;
    virtual_scheduler timers;
    seeded_random random;
    fakes::directory directory;
    fakes::fixed_bundle bundles;
    std::vector<std::unique_ptr<engine_model>> engines;
    std::vector<double> prices; ///< an hour
    std::unordered_map<endpoint_id, std::size_t> engine_by_id;
    std::vector<std::unique_ptr<entry_node>> nodes;
    fakes::fixed_membership members;
    sharded_entry_directory entries{members, std::chrono::seconds{5}};
    std::unordered_map<node_id, std::size_t> node_numbers;
    std::unordered_map<attempt_id, std::pair<flight_pointer, std::size_t>> flights;
    std::unordered_set<std::uint64_t> computed_blocks;
    routing_figures figures;
    std::size_t next_item = 0;
    std::size_t digest_bytes = 0;
    bool accepting = true;
};

} // namespace

bundle routing_run::with_policy(bundle declared, const std::string& policy)
{
    declared.services.front().routing_policy = policy;
    return declared;
}

routing_run::routing_run(const routing_fleet& deployment, const std::vector<work_item>& work,
                         const run_options& options)
    : deployment(deployment),
      work(work),
      options(options),
      random(options.seed),
      bundles(with_policy(deployment.declared, options.policy)),
      members(options.nodes, zone_count)
{
    for (const auto& each : deployment.engines) {
        this->engine_by_id.emplace(each.info.id, this->engines.size());
        this->engines.push_back(
            std::make_unique<engine_model>(each.settings, this->timers, this->random));
        this->directory.set(each.info);
        for (const auto& price : deployment.declared.host_prices) {
            if (price.zone == each.info.zone && price.type == each.info.type &&
                price.reclaimable == each.info.reclaimable) {
                this->prices.push_back(static_cast<double>(price.per_hour.value()));
            }
        }
    }
    this->add_nodes();
}

void routing_run::add_nodes()
{
    for (std::uint32_t number = 0; number < this->options.nodes; ++number) {
        auto& node = this->nodes.emplace_back(std::make_unique<entry_node>(
            this->options.seed * 1000 + number, this->timers, this->directory, this->bundles));
        this->node_numbers.emplace(this->members.known[number].id, number);
        node->next_event.resize(this->engines.size());
        for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
            const auto phase = duration{static_cast<duration::rep>(
                random_below(this->random, static_cast<std::uint64_t>(report_interval.count())))};
            this->timers.call_after(
                phase, [this, pointer = node.get(), engine] { this->poll(*pointer, engine); });
        }
    }
}

void routing_run::poll(entry_node& node, std::size_t engine)
{
    const auto& id = this->deployment.engines[engine].info.id;
    node.router.report_load(id, this->engines[engine]->lagging_load());
    const auto page = this->engines[engine]->cache_events(node.next_event[engine]);
    for (const auto& event : page.events) {
        node.router.report_cache(id, event);
    }
    node.next_event[engine] = std::max(node.next_event[engine], page.next_sequence);
    this->timers.call_after(report_interval,
                            [this, pointer = &node, engine] { this->poll(*pointer, engine); });
}

void routing_run::exchange_digests(std::size_t node)
{
    const node_id self{"node-" + std::to_string(node)};
    const auto bytes = encode(this->nodes[node]->router.make_digest(self));
    for (std::size_t peer = 0; peer < this->nodes.size(); ++peer) {
        if (peer != node) {
            this->timers.call_after(peer_delay, [this, peer, bytes] {
                this->nodes[peer]->router.apply_digest(decode_load_digest(bytes).value());
            });
        }
    }
    this->digest_bytes += bytes.size() * (this->nodes.size() - 1);
    this->timers.call_after(digest_interval(bytes.size(), this->nodes.size() - 1),
                            [this, node] { this->exchange_digests(node); });
}

void routing_run::sample_slots()
{
    const double hours = std::chrono::duration<double, std::ratio<3600>>{slot_sample}.count();
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        const auto load = this->engines[engine]->current_load();
        this->figures.slot_cost += this->prices[engine] * hours * load.running / load.slots;
    }
    if (this->accepting) {
        this->timers.call_after(slot_sample, [this] { this->sample_slots(); });
    }
}

void routing_run::schedule_stragglers()
{
    constexpr std::array<duration, 2> starts{std::chrono::seconds{30}, std::chrono::seconds{75}};
    constexpr duration length = std::chrono::seconds{30};
    for (const auto start : starts) {
        std::unordered_set<std::size_t> slow;
        while (slow.size() < this->options.stragglers) {
            slow.insert(random_below(this->random, this->engines.size()));
        }
        for (const auto engine : slow) {
            auto* model = this->engines[engine].get();
            this->timers.call_after(start, [model] { model->set_slowdown(straggler_slowdown); });
            this->timers.call_after(start + length, [model] { model->set_slowdown(1.0); });
        }
    }
}

void routing_run::start_arrivals()
{
    if (this->options.closed) {
        double callers = 0.0;
        for (const auto& engine : this->deployment.engines) {
            callers += this->options.load * engine.settings.slots;
        }
        for (int caller = 0; caller < static_cast<int>(callers); ++caller) {
            this->timers.call_after(std::chrono::milliseconds{20} * caller,
                                    [this] { this->next_closed(); });
        }
        return;
    }
    const double rate = this->options.load * fleet_capacity(this->deployment, this->work);
    for (const auto& item : this->work) {
        const std::chrono::duration<double> at{item.arrival / rate};
        if (at > warm_up + measured) {
            break;
        }
        this->timers.call_after(std::chrono::duration_cast<duration>(at),
                                [this, pointer = &item] { this->begin(*pointer); });
    }
}

void routing_run::next_closed()
{
    if (this->accepting) {
        this->begin(this->work[this->next_item++ % this->work.size()]);
    }
}

std::size_t routing_run::node_for(const work_item& item) const
{
    const auto answer =
        this->entries.entries(item.request.organisation, item.request.service).entries;
    std::uint32_t total = 0;
    for (const auto& entry : answer) {
        total += entry.weight;
    }
    std::uint32_t draw = item.node % total;
    for (const auto& entry : answer) {
        if (draw < entry.weight) {
            return this->node_numbers.at(entry.node);
        }
        draw -= entry.weight;
    }
    return 0;
}

nlohmann::json routing_run::run()
{
    this->schedule_stragglers();
    this->start_arrivals();
    for (std::size_t node = 0; node < this->nodes.size() && this->nodes.size() > 1; ++node) {
        this->timers.call_after(std::chrono::milliseconds{30} * node,
                                [this, node] { this->exchange_digests(node); });
    }
    this->timers.run_for(warm_up);
    const double cost_before = this->busy_cost();
    this->sample_slots();
    this->timers.run_for(measured);
    this->figures.host_cost = this->busy_cost() - cost_before;
    this->accepting = false;
    this->timers.run_for(drain);
    auto fields = this->figures.to_json();
    fields["policy"] = this->options.policy;
    fields["load"] = this->options.load;
    fields["loop"] = this->options.closed ? "closed" : "open";
    fields["stragglers"] = this->options.stragglers;
    fields["nodes"] = this->options.nodes;
    fields["seed"] = this->options.seed;
    const auto seconds = std::chrono::duration<double>{warm_up + measured + drain}.count();
    fields["digest_bytes_per_node_second"] =
        static_cast<double>(this->digest_bytes) / seconds / this->options.nodes;
    return fields;
}

double routing_run::busy_cost() const
{
    double cost = 0.0;
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        const auto busy = this->engines[engine]->totals().busy_time;
        cost +=
            this->prices[engine] * std::chrono::duration<double, std::ratio<3600>>{busy}.count();
    }
    return cost;
}

void routing_run::begin(const work_item& item)
{
    auto started = std::make_shared<flight>();
    started->item = &item;
    started->node = this->nodes[this->node_for(item)].get();
    started->request = item.request;
    started->started = this->timers.now();
    started->counted = this->accepting && this->timers.now().time_since_epoch() >= warm_up;
    const auto& blocks = item.prompt.tokens.blocks();
    const auto fresh = std::ranges::find_if(
        blocks, [&](std::uint64_t block) { return !this->computed_blocks.contains(block); });
    started->reusable = (fresh - blocks.begin()) * prefix_block_tokens;
    started->node->retries.earn(item.request.service,
                                this->deployment.declared.services.front().retry_budget);
    if (!this->attempt(started)) {
        this->refuse(started);
    }
}

bool routing_run::attempt(const flight_pointer& started)
{
    auto& node = *started->node;
    const bool first = started->attempts.empty();
    while (started->attempts.size() < most_attempts) {
        const auto decision = node.router.choose(started->request);
        if (!decision) {
            return false;
        }
        const auto number = started->attempts.size();
        const auto engine = this->engine_by_id.at(decision.value().endpoint);
        engine_request sent;
        sent.attempt = attempt_id{started->request.request.value() + "/" +
                                  std::to_string(this->timers.now().time_since_epoch().count()) +
                                  "/" + std::to_string(number)};
        sent.prompt = started->item->prompt;
        sent.max_tokens = token_count{4096};
        sent.answer_length = started->item->answer;
        sent.priority = started->request.priority;
        started->attempts.push_back({sent.attempt, engine});
        started->request.excluded.push_back(decision.value().endpoint);
        const auto id = sent.attempt;
        if (this->engines[engine]->submit(std::move(sent), *this)) {
            node.router.on_dispatched(id, decision.value().endpoint, started->request);
            this->flights.emplace(id, std::pair{started, number});
            if (first) {
                this->plan_hedge(started, decision.value());
            }
            return true;
        }
        started->attempts.back().alive = false;
        if (!node.retries.spend(started->request.service)) {
            return false;
        }
        this->figures.retried();
    }
    return false;
}

void routing_run::plan_hedge(const flight_pointer& started, const route_decision& decision)
{
    if (decision.policy != "predictive") {
        return;
    }
    const auto delay = started->node->hedges.delay(started->request, decision);
    if (!delay) {
        return;
    }
    this->check_hedge(started, this->timers.now() + *delay);
}

void routing_run::check_hedge(const flight_pointer& started, monotonic_time due)
{
    const bool waiting = !started->winner && !started->over;
    if (!waiting) {
        return;
    }
    const bool late = this->timers.now() >= due;
    if (!late && !started->node->router.is_suspected(started->request.excluded.back())) {
        this->timers.call_after(hedge_check_interval,
                                [this, started, due] { this->check_hedge(started, due); });
        return;
    }
    const bool within_budget = started->node->hedges.try_acquire(started->request.service);
    if (within_budget && this->attempt(started) && started->counted) {
        this->figures.hedged();
    }
}

void routing_run::refuse(const flight_pointer& started)
{
    started->over = true;
    if (started->counted) {
        this->figures.refused(started->request.size);
    }
    if (this->options.closed) {
        this->timers.call_after(started->node->router.retry_after(started->request.service),
                                [this] { this->next_closed(); });
    }
}

void routing_run::on_token(const attempt_id& attempt, std::int64_t index,
                           const std::string& /*text*/)
{
    const auto found = this->flights.find(attempt);
    if (found == this->flights.end()) {
        return;
    }
    const auto current = found->second.first;
    const auto now = this->timers.now();
    if (!current->winner) {
        current->winner = found->second.second;
        current->first = now;
        current->node->hedges.on_first_token(current->request.service, current->request.size,
                                             now - current->started);
        this->cancel_losers(*current);
    }
    else if (current->counted) {
        this->figures.between_tokens(now - current->last);
    }
    current->last = now;
    current->tokens = index + 1;
    current->node->router.on_progress(attempt, token_count{current->tokens});
}

void routing_run::cancel_losers(flight& won)
{
    for (std::size_t number = 0; number < won.attempts.size(); ++number) {
        const auto loser = won.attempts[number];
        if (number != *won.winner && loser.alive) {
            this->engines[loser.engine]->cancel(loser.id);
        }
    }
}

void routing_run::on_finished(const attempt_id& attempt, const engine_usage& usage,
                              finish_reason /*reason*/)
{
    const auto done = this->flights.at(attempt).first;
    done->node->router.on_usage(attempt, usage.prompt_tokens, usage.cached_tokens);
    this->end_attempt(attempt, attempt_end::completed);
    done->over = true;
    for (const auto block : done->item->prompt.tokens.blocks()) {
        this->computed_blocks.insert(block);
    }
    if (done->counted) {
        const auto& spec = this->deployment.declared.services.front();
        const auto first = done->first - done->started;
        const auto gaps = std::max<std::int64_t>(1, done->tokens - 1);
        const bool within = first <= spec.first_token_target &&
                            (done->last - done->first) / gaps <= spec.between_tokens_target;
        this->figures.first_token(done->request.size, first,
                                  this->undisturbed_first_token(*done, usage));
        this->figures.completed(done->request.size, within, done->last - done->started,
                                done->tokens);
        this->figures.recomputed_tokens +=
            std::max<std::int64_t>(0, done->reusable - usage.cached_tokens.value());
    }
    if (this->options.closed) {
        this->next_closed();
    }
}

void routing_run::on_cancelled(const attempt_id& attempt, const engine_usage& /*usage*/)
{
    this->end_attempt(attempt, attempt_end::cancelled);
}

void routing_run::end_attempt(const attempt_id& attempt, attempt_end how)
{
    const auto found = this->flights.find(attempt);
    const auto [owner, number] = found->second;
    owner->attempts[number].alive = false;
    owner->node->router.on_ended(attempt, how);
    this->flights.erase(found);
}

duration routing_run::undisturbed_first_token(const flight& done, const engine_usage& usage) const
{
    const auto& settings = this->deployment.engines[done.attempts[*done.winner].engine].settings;
    const auto uncached =
        std::max<std::int64_t>(1, usage.prompt_tokens.value() - usage.cached_tokens.value());
    const auto steps =
        (uncached + settings.prefill_chunk_tokens - 1) / settings.prefill_chunk_tokens;
    const std::chrono::duration<double> prefill{static_cast<double>(uncached) /
                                                settings.prefill_tokens_per_second};
    const auto full_step = settings.step_base + settings.step_per_stream * settings.slots;
    return full_step * steps + std::chrono::duration_cast<duration>(prefill);
}

nlohmann::json run_routing(const routing_fleet& deployment, const std::vector<work_item>& work,
                           const run_options& options)
{
    routing_run run(deployment, work, options);
    return run.run();
}

} // namespace eelgrassbend::bench
