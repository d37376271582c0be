#include "ledger_cluster.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One random run: nodes serve and bill requests while log, network and nodes fail.
class ledger_interleaving {
public:
    explicit ledger_interleaving(std::uint64_t seed)
        : random(seed), cluster(4 + seed % 4, seed, settings_of(seed))
    {
    }

    std::string run()
    {
        this->plan_faults();
        const auto count = 5 + random_below(this->random, 20);
        for (std::uint64_t number = 0; number < count; ++number) {
            this->plan_request("r" + std::to_string(number));
        }
        this->cluster.run_for(seconds{10});
        this->cluster.world.log.outage = false;
        this->cluster.world.network.loss = 0.0;
        for (auto& node : this->cluster.nodes) {
            node->client.faults = fake_log_faults{};
            node->timer.resume();
        }
        this->cluster.run_for(seconds{90});
        return this->check();
    }

    std::size_t billed = 0;

private:
    static ledger_settings settings_of(std::uint64_t seed)
    {
        ledger_settings settings;
        settings.batch_lines = 1 + seed % 5;
        return settings;
    }

    duration up_to(milliseconds bound)
    {
        const auto count = static_cast<std::uint64_t>(bound.count());
        return milliseconds{static_cast<std::int64_t>(random_below(this->random, count + 1))};
    }

    bool chance(double share) { return random_unit(this->random) < share; }

    void plan_faults()
    {
        auto& time = this->cluster.world.time;
        this->cluster.world.network.loss = this->chance(0.4) ? 0.3 * random_unit(random) : 0.0;
        if (this->chance(0.6)) {
            const auto start = this->up_to(seconds{4});
            time.call_after(start, [this] { this->cluster.world.log.outage = true; });
            time.call_after(start + this->up_to(seconds{5}),
                            [this] { this->cluster.world.log.outage = false; });
        }
        for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
            auto& target = *this->cluster.nodes[node];
            target.client.faults.answer_loss = this->chance(0.4) ? 0.3 : 0.0;
            target.client.faults.request_loss = this->chance(0.4) ? 0.3 : 0.0;
            if (this->chance(0.25)) {
                const auto start = this->up_to(seconds{4});
                time.call_after(start, [&target] { target.timer.pause(); });
                time.call_after(start + this->up_to(seconds{5}),
                                [&target] { target.timer.resume(); });
            }
            if (this->chance(0.2)) {
                this->killed.insert(node);
                time.call_after(this->up_to(seconds{6}),
                                [this, node] { this->cluster.kill(node, seconds{3}); });
            }
            if (this->chance(0.1)) { // wrongly believed dead
                time.call_after(this->up_to(seconds{5}),
                                [this, node] { bury(this->cluster.nodes, node); });
            }
        }
    }

    void plan_request(const std::string& request)
    {
        const auto node = random_below(this->random, this->cluster.nodes.size());
        auto& timer = this->cluster.nodes[node]->timer;
        const auto deliver = this->up_to(milliseconds{300});
        const bool whole = this->chance(0.8);
        timer.call_after(this->up_to(seconds{5}), [this, node, request, deliver, whole, &timer] {
            this->cluster.ledgers[node]->intend(
                ledger_cluster::make_line(request),
                [this, node, request, deliver, whole, &timer](const result<void>& done) {
                    if (!done) {
                        return;
                    }
                    timer.call_after(
                        deliver, [this, node, request, whole] { this->end(node, request, whole); });
                });
        });
    }

    void end(std::size_t node, const std::string& request, bool whole)
    {
        if (!whole) {
            this->cluster.ledgers[node]->cancel(request_id{request});
            return;
        }
        this->cluster.confirm(node, request);
        if (!this->killed.contains(node)) {
            this->must_bill.insert(request);
        }
    }

    std::string check()
    {
        const auto bill = this->cluster.billed();
        this->billed = bill.size();
        for (const auto& request : bill) {
            if (!this->cluster.delivered.contains(request)) {
                return request + " is billed but was not delivered whole";
            }
        }
        for (const auto& request : this->must_bill) {
            if (!bill.contains(request)) {
                return request + " is not billed though its node lives";
            }
        }
        if (this->cluster.fold().contradicting() > 0) {
            return "lines contradict each other";
        }
        for (std::size_t node = 0; node < this->cluster.nodes.size(); ++node) {
            if (!this->killed.contains(node) && this->cluster.ledgers[node]->waiting() > 0) {
                return "node " + std::to_string(node) + " still has lines";
            }
        }
        return {};
    }

    seeded_random random;
    ledger_cluster cluster;
    std::set<std::size_t> killed;
    std::set<std::string> must_bill;
};

} // namespace

// EELGRASSBEND_FIRST_SEED and EELGRASSBEND_SEEDS select the runs.
BOOST_AUTO_TEST_CASE(no_interleaving_bills_what_was_not_delivered)
{
    const char* first_text = std::getenv("EELGRASSBEND_FIRST_SEED");
    const char* count_text = std::getenv("EELGRASSBEND_SEEDS");
    const auto first = first_text == nullptr ? 1 : std::strtoull(first_text, nullptr, 10);
    const auto count = count_text == nullptr ? 5'000 : std::strtoull(count_text, nullptr, 10);
    std::size_t failures = 0;
    std::size_t billed = 0;
    for (auto seed = first; seed < first + count && failures < 5; ++seed) {
        ledger_interleaving one{seed};
        const auto wrong = one.run();
        failures += wrong.empty() ? 0 : 1;
        BOOST_TEST(wrong.empty(), "seed " << seed << ": " << wrong);
        billed += one.billed;
    }
    BOOST_TEST_MESSAGE("billed " << billed << " lines");
    BOOST_TEST(billed > count);
}

} // namespace eelgrassbend
