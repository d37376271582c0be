#ifndef EELGRASSBEND_UNITTESTS_ENTRY_FAULT_TRAFFIC_H
#define EELGRASSBEND_UNITTESTS_ENTRY_FAULT_TRAFFIC_H

#include "eelgrassbend/engine_model/prompt.h"
#include "eelgrassbend/support/uuid.h"

#include "fakes/virtual_fleet.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// One request of a caller at one node.
struct fault_try {
    std::size_t node = 0;
    monotonic_time at{};
    std::shared_ptr<virtual_exchange> answer;
    bool left = false; ///< the caller broke the connection itself

    [[nodiscard]] std::string outcome() const
    {
        return this->answer->header("Eelgrassbend-Outcome");
    }
};

/// What one caller wants, with all its tries.
struct fault_call {
    enum class kind { stream, get, order };

    kind type = kind::stream;
    std::string text; ///< prompt of a stream, path of a GET, idempotency key of an order
    std::string expected;
    int tokens = 0;
    int service_ms = 0;
    duration leaves_after{}; ///< zero: the caller stays
    std::vector<fault_try> tries;

    [[nodiscard]] bool not_run_throughout() const
    {
        return std::ranges::all_of(this->tries,
                                   [](const auto& one) { return one.outcome() == "not-run"; });
    }
};

/// The text of a stream, the id of its last event and whether events are in order.
struct fault_stream {
    explicit fault_stream(const std::string& body) : whole(body.find("[DONE]") != std::string::npos)
    {
        std::size_t position = 0;
        while ((position = body.find("id: ", position)) != std::string::npos) {
            const auto data = body.find("data: ", position);
            const auto end = body.find('\n', data);
            if (data == std::string::npos || end == std::string::npos) {
                return;
            }
            const auto event = nlohmann::json::parse(body.substr(data + 6, end - data - 6));
            if (event.contains("choices")) {
                this->text += event["choices"][0]["delta"].value("content", "");
            }
            this->last_id = body.substr(position + 4, body.find('\n', position) - position - 4);
            const auto number = std::stoll(this->last_id.substr(this->last_id.rfind(':') + 1));
            this->first = this->first < 0 ? number : this->first;
            this->in_order = this->in_order && (this->last < 0 || number == this->last + 1);
            this->last = number;
            position = end;
        }
    }

    bool whole;
    bool in_order = true;
    std::int64_t first = -1;
    std::int64_t last = -1;
    std::string text;
    std::string last_id;
};

/// Callers of a fleet: streams, GETs and orders, with their retries and returns.
class fault_traffic {
public:
    explicit fault_traffic(virtual_fleet& fleet, random_source& random)
        : fleet(fleet), random(random)
    {
    }

    /// A caller arrives.
    void arrive()
    {
        auto call = std::make_unique<fault_call>();
        const auto number = std::to_string(this->calls.size());
        const auto draw = random_below(this->random, 10);
        if (draw < 6) {
            this->make_stream(*call, number);
        }
        else if (draw < 8) {
            call->type = fault_call::kind::get;
            call->text = "quotes-" + number;
        }
        else {
            call->type = fault_call::kind::order;
            call->text = make_uuid_v7(this->fleet.time.wall_now(), this->random);
            constexpr std::array<std::uint64_t, 2> longest_ms{400, 6000};
            call->service_ms = static_cast<int>(
                random_below(this->random, longest_ms[random_below(this->random, 2)]));
        }
        this->attempt(*call, random_below(this->random, this->fleet.nodes.size()), {});
        // Some callers send an order to two nodes at once, or are gone before the answer.
        if (call->type == fault_call::kind::order && random_below(this->random, 3) == 0) {
            this->attempt(*call, this->other_node(call->tries.back().node), {});
        }
        if (random_below(this->random, 8) == 0) {
            call->tries.back().left = true;
            call->tries.back().answer->break_connection(false);
        }
        this->calls.push_back(std::move(call));
    }

    /// Callers act on what they have received.
    void react()
    {
        for (auto& call : this->calls) {
            this->react(*call);
        }
    }

    std::vector<std::unique_ptr<fault_call>> calls;

private:
    static constexpr std::size_t most_tries = 4;
    static constexpr duration patience = std::chrono::seconds{6};

    void make_stream(fault_call& call, const std::string& number)
    {
        constexpr std::array<int, 4> lengths{5, 30, 120, 300};
        call.tokens = lengths[random_below(this->random, lengths.size())];
        call.text = "layout " + number + " of " + std::to_string(this->random());
        const auto seed = make_prompt("user: " + call.text + "\n").seed;
        call.expected =
            answer_text(seed, std::min<std::int64_t>(call.tokens, answer_length(seed).value()));
        if (random_below(this->random, 5) == 0) {
            call.leaves_after = std::chrono::milliseconds{500 + random_below(this->random, 3000)};
        }
    }

    void attempt(fault_call& call, std::size_t index, header_list more)
    {
        more.emplace_back("Authorization", "Bearer key-1");
        http_request request{"GET", "/services/order-desk/" + call.text, more, ""};
        if (call.type == fault_call::kind::stream) {
            const nlohmann::json body{{"model", "draft-llm"},
                                      {"stream", true},
                                      {"max_tokens", call.tokens},
                                      {"messages", {{{"role", "user"}, {"content", call.text}}}}};
            request = {"POST", "/v1/chat/completions", more, body.dump()};
        }
        else if (call.type == fault_call::kind::order) {
            more.emplace_back("Idempotency-Key", call.text);
            request = {"POST", "/services/order-desk/orders?ms=" + std::to_string(call.service_ms),
                       more, "{}"};
        }
        call.tries.push_back({index, this->fleet.time.now(),
                              this->fleet.send(*this->fleet.nodes[index], std::move(request))});
    }

    [[nodiscard]] std::size_t other_node(std::size_t index)
    {
        return (index + 1 + random_below(this->random, this->fleet.nodes.size() - 1)) %
               this->fleet.nodes.size();
    }

    void react(fault_call& call)
    {
        auto& last = call.tries.back();
        if (!this->fleet.nodes[last.node]->alive && !last.answer->ended) {
            last.answer->break_connection(false);
        }
        const auto waited = this->fleet.time.now() - last.at;
        if (call.type == fault_call::kind::order) {
            this->retry_order(call, waited);
            return;
        }
        if (call.type != fault_call::kind::stream || last.answer->ended) {
            return;
        }
        if (call.leaves_after != duration::zero() && call.tries.size() == 1 &&
            waited > call.leaves_after && !last.answer->lost) {
            last.left = true;
            last.answer->break_connection(true);
        }
        this->come_back(call);
    }

    void retry_order(fault_call& call, duration waited)
    {
        const auto& last = call.tries.back();
        const auto outcome = last.outcome();
        const bool again = last.answer->ended ? outcome == "unknown" || outcome == "not-run"
                                              : last.answer->lost || waited > patience;
        if (again && waited > std::chrono::milliseconds{300} && call.tries.size() < most_tries) {
            this->attempt(call, this->other_node(last.node), {});
        }
    }

    void come_back(fault_call& call)
    {
        const auto& last = call.tries.back();
        if (!last.answer->lost || call.tries.size() >= most_tries) {
            return;
        }
        const auto seen = fault_stream{last.answer->body}.last_id;
        if (!seen.empty()) {
            this->attempt(call, this->other_node(last.node), {{"Last-Event-ID", seen}});
        }
    }

    virtual_fleet& fleet;
    random_source& random;
};

} // namespace eelgrassbend::fakes

#endif
