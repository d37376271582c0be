#include "claim_interleaving.h"

#include <utility>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr duration fault_span = seconds{6};
static constexpr duration longest_age = std::chrono::minutes{15};
static constexpr std::size_t fewest_nodes = 2;
static constexpr std::size_t most_nodes = 6;

static claim_settings settings_of(std::uint64_t seed)
{
    auto settings = claims_cluster::fast_settings();
    settings.page_records = 1 + seed % 7;
    settings.batch_records = 1 + seed % 5;
    return settings;
}

claim_interleaving::claim_interleaving(std::uint64_t seed)
    : random(seed),
      cluster(fewest_nodes + seed % (most_nodes - fewest_nodes + 1), seed, settings_of(seed))
{
}

duration claim_interleaving::up_to(duration bound)
{
    const auto count = static_cast<std::uint64_t>(bound.count());
    return duration{static_cast<std::int64_t>(random_below(this->random, count + 1))};
}

bool claim_interleaving::chance(double share)
{
    return random_unit(this->random) < share;
}

std::size_t claim_interleaving::pick(std::size_t bound)
{
    return random_below(this->random, bound);
}

std::string claim_interleaving::run()
{
    this->cluster.run_for(this->up_to(seconds{1}));
    const auto key_count = 1 + this->pick(3);
    for (std::size_t key = 0; key < key_count; ++key) {
        const bool expiring = this->chance(0.05);
        const auto age =
            expiring ? longest_age - this->up_to(seconds{20}) : this->up_to(seconds{60});
        this->keys.push_back({this->cluster.make_key(age), {}, {}, false, expiring});
    }
    this->plan_faults();
    for (std::size_t key = 0; key < key_count; ++key) {
        const auto count = 2 + this->pick(5);
        const auto spread = this->up_to(seconds{2});
        for (std::size_t number = 0; number < count; ++number) {
            this->plan_caller(key, 2, this->up_to(spread));
        }
    }
    this->cluster.run_for(fault_span + seconds{2});
    this->end_faults();
    this->cluster.run_for(seconds{40});
    auto wrong = this->check_callers();
    return wrong.empty() ? this->check_keys() : wrong;
}

void claim_interleaving::plan_faults()
{
    this->plan_log_faults();
    this->cluster.world.network.loss = this->chance(0.4) ? random_unit(this->random) * 0.4 : 0.0;
    for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
        this->plan_node_faults(node);
    }
}

void claim_interleaving::plan_log_faults()
{
    auto& time = this->cluster.world.time;
    if (this->chance(0.5)) {
        const auto start = this->up_to(seconds{2});
        time.call_after(start, [this] { this->cluster.world.log.outage = true; });
        time.call_after(start + this->up_to(seconds{4}),
                        [this] { this->cluster.world.log.outage = false; });
    }
    if (this->chance(0.1)) {
        this->truncated = true;
        time.call_after(this->up_to(seconds{3}), [this] {
            for (std::uint32_t number = 0; number < 2; ++number) {
                const auto stream = claim_stream(number);
                const auto end = this->cluster.world.log.read(stream, log_offset{0}, 0).end;
                this->cluster.world.log.truncate(stream, end);
            }
        });
    }
}

void claim_interleaving::plan_node_faults(std::size_t node)
{
    auto& time = this->cluster.world.time;
    auto& target = *this->cluster.nodes[node];
    auto& faults = target.client.faults;
    target.timer.wall_offset = this->up_to(seconds{4}) - seconds{2};
    if (this->chance(0.5)) {
        faults.request_loss = random_unit(this->random) * 0.3;
        faults.answer_loss = random_unit(this->random) * 0.3;
        faults.jitter = this->up_to(milliseconds{60});
    }
    if (this->chance(0.2)) { // calls outlast their timeout and take effect late
        const auto start = this->up_to(seconds{2});
        time.call_after(start, [&faults] { faults.latency = seconds{6}; });
        time.call_after(start + this->up_to(seconds{1}),
                        [&faults] { faults.latency = milliseconds{2}; });
    }
    if (this->chance(0.2)) {
        const auto start = this->up_to(seconds{3});
        time.call_after(start, [&faults] { faults.cut_off = true; });
        time.call_after(start + this->up_to(seconds{3}), [&faults] { faults.cut_off = false; });
    }
    if (this->chance(0.3)) {
        const auto start = this->up_to(seconds{3});
        time.call_after(start, [&target] { target.timer.pause(); });
        time.call_after(start + this->up_to(seconds{8}), [&target] { target.timer.resume(); });
    }
    const bool last = this->killed.size() + 1 >= this->cluster.nodes.size();
    if (this->chance(0.15) && !last) {
        this->killed.insert(node);
        const auto when = this->up_to(seconds{3});
        time.call_after(when, [&target] { target.timer.kill(); });
        time.call_after(when + this->up_to(seconds{3}),
                        [this, node] { bury(this->cluster.nodes, node); });
    }
    for (std::size_t other = 0; other < this->cluster.nodes.size(); ++other) {
        if (other != node && this->chance(0.15)) { // views differ, and so do the owners
            auto hidden = this->cluster.nodes[other]->members.self();
            hidden.state = member_state::dead;
            target.members.set(hidden);
        }
    }
}

void claim_interleaving::end_faults()
{
    this->cluster.world.log.outage = false;
    this->cluster.world.network.loss = 0.0;
    for (auto& node : this->cluster.nodes) {
        node->client.faults = fake_log_faults{};
        node->client.faults.timeout = milliseconds{200};
        node->timer.resume();
    }
}

void claim_interleaving::plan_caller(std::size_t key, int retries, duration delay)
{
    const auto node = this->pick(this->cluster.nodes.size());
    const auto number = this->callers.size();
    this->callers.push_back({key, node, "r" + std::to_string(number), 0, false, {}});
    this->keys[key].touched_dead |= this->killed.contains(node);
    this->cluster.nodes[node]->timer.call_after(
        delay, [this, number, retries] { this->begin(number, retries); });
}

void claim_interleaving::begin(std::size_t number, int retries)
{
    const auto& asking = this->callers[number];
    this->cluster.services[asking.node]->claim("lodges/order-desk", this->keys[asking.key].key,
                                               request_id{asking.request},
                                               [this, number, retries](const claim_answer& answer) {
                                                   this->on_answer(number, retries, answer);
                                               });
}

void claim_interleaving::on_answer(std::size_t number, int retries, const claim_answer& answer)
{
    auto& asking = this->callers[number];
    ++asking.answered;
    asking.answer = answer;
    ++this->answers[answer.state];
    if (answer.state == claim_state::granted) {
        this->cluster.nodes[asking.node]->timer.call_after(
            this->up_to(milliseconds{300}), [this, number] { this->try_dispatch(number); });
        return;
    }
    if (retries > 0 && answer.state != claim_state::finished) {
        this->plan_caller(asking.key, retries - 1, this->up_to(seconds{1}));
    }
}

void claim_interleaving::try_dispatch(std::size_t number)
{
    const auto& asking = this->callers[number];
    auto& service = *this->cluster.services[asking.node];
    if (this->chance(0.1) || !service.dispatch_allowed(request_id{asking.request})) {
        this->release(number);
        return;
    }
    this->cluster.nodes[asking.node]->timer.call_after(this->up_to(milliseconds{50}),
                                                       [this, number] { this->dispatch(number); });
}

void claim_interleaving::dispatch(std::size_t number)
{
    auto& asking = this->callers[number];
    if (this->chance(0.1)) { // the endpoint refused the connection
        this->cluster.services[asking.node]->not_dispatched(request_id{asking.request});
        this->release(number);
        return;
    }
    if (this->chance(0.05)) { // a mistake that must have no effect
        this->release(number);
    }
    ++this->executions;
    asking.executed = true;
    this->keys[asking.key].executed.push_back(asking.request);
    this->cluster.nodes[asking.node]->timer.call_after(this->up_to(milliseconds{500}),
                                                       [this, number] { this->finish(number); });
}

void claim_interleaving::finish(std::size_t number)
{
    const auto& asking = this->callers[number];
    auto& service = *this->cluster.services[asking.node];
    if (this->chance(0.1)) {
        service.abandon(request_id{asking.request});
        return;
    }
    if (!this->killed.contains(asking.node)) {
        this->keys[asking.key].recorded = asking.request;
    }
    service.finish(request_id{asking.request}, {200, "text/plain", "done", asking.request},
                   [](const result<void>&) {});
}

void claim_interleaving::release(std::size_t number)
{
    const auto& asking = this->callers[number];
    this->cluster.services[asking.node]->release(request_id{asking.request},
                                                 [](const result<void>&) {});
}

std::string claim_interleaving::check_callers() const
{
    for (const auto& asking : this->callers) {
        const bool lives = !this->killed.contains(asking.node);
        if (asking.answered > 1 || (lives && asking.answered == 0)) {
            return asking.request + " was answered " + std::to_string(asking.answered) + " times";
        }
        if (asking.executed && asking.answer.state != claim_state::granted) {
            return asking.request + " ran after another answer than granted";
        }
        const auto& executed = this->keys[asking.key].executed;
        if (asking.answered > 0 && asking.answer.state == claim_state::finished &&
            (executed.empty() || executed.front() != asking.answer.outcome.digest)) {
            return asking.request + " was told of an outcome that never was";
        }
    }
    return {};
}

std::string claim_interleaving::check_keys()
{
    for (std::size_t key = 0; key < this->keys.size(); ++key) {
        const auto count = this->keys[key].executed.size();
        if (count > 1) {
            return "key " + std::to_string(key) + " ran " + std::to_string(count) + " times";
        }
        if (auto wrong = this->check_free_key(key); !wrong.empty()) {
            return wrong;
        }
    }
    return {};
}

/// Asks once more at a living node, without any fault.
std::string claim_interleaving::check_free_key(std::size_t key)
{
    std::size_t node = 0;
    while (this->killed.contains(node)) {
        ++node;
    }
    const auto& record = this->keys[key];
    const auto name = "key " + std::to_string(key);
    const auto answer = this->cluster.claim(node, record.key, "last" + std::to_string(key));
    if (!record.executed.empty() && answer.state == claim_state::granted) {
        return name + " was granted after it ran";
    }
    if (this->truncated || record.expiring) {
        return {};
    }
    if (!record.recorded.empty() && answer.state != claim_state::finished) {
        return name + " lost its outcome";
    }
    if (record.executed.empty() && !record.touched_dead && answer.state != claim_state::granted) {
        return name + " is blocked though it never ran";
    }
    return {};
}

} // namespace eelgrassbend
