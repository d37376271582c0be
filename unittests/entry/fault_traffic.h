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
struct fault_attempt {
    std::size_t node = 0;
    monotonic_time sent_at{};
    std::shared_ptr<virtual_exchange> answer;
    bool is_caller_gone = false; ///< the caller closed the connection

    [[nodiscard]] std::string outcome() const
    {
        return this->answer->header("Eelgrassbend-Outcome");
    }
};

/// A request of one caller and all attempts to send it.
struct fault_call {
    enum class kind { stream, get, order };

    kind type = kind::stream;
    std::string text; ///< prompt of a stream, path of a GET, idempotency key of an order
    std::string expected;
    int tokens = 0;
    int service_ms = 0;
    duration disconnect_after{}; ///< zero: the caller does not disconnect
    std::vector<fault_attempt> attempts;

    [[nodiscard]] bool is_never_run() const
    {
        return std::ranges::all_of(
            this->attempts, [](const auto& attempt) { return attempt.outcome() == "not-run"; });
    }
};

/// Parses the body of a stream: its text, event numbers and order.
struct fault_stream {
    explicit fault_stream(const std::string& body)
        : is_complete(body.find("[DONE]") != std::string::npos)
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
            this->is_in_order = this->is_in_order && (this->last < 0 || number == this->last + 1);
            this->last = number;
            position = end;
        }
    }

    bool is_complete;
    bool is_in_order = true;
    std::int64_t first = -1;
    std::int64_t last = -1;
    std::string text;
    std::string last_id;
};

/// Callers of a fleet. They send streams, GETs and orders, retry orders and resume streams.
class fault_traffic {
public:
    explicit fault_traffic(virtual_fleet& fleet, random_source& random)
        : fleet(fleet), random(random)
    {
    }

    /// Starts one random call.
    void start_call()
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
            constexpr std::array<std::uint64_t, 2> max_service_ms{400, 6000};
            call->service_ms = static_cast<int>(
                random_below(this->random, max_service_ms[random_below(this->random, 2)]));
        }
        this->send_attempt(*call, random_below(this->random, this->fleet.nodes.size()), {});
        // Some callers send an order to two nodes at once, or disconnect before the answer.
        if (call->type == fault_call::kind::order && random_below(this->random, 3) == 0) {
            this->send_attempt(*call, this->other_node(call->attempts.back().node), {});
        }
        if (random_below(this->random, 8) == 0) {
            call->attempts.back().is_caller_gone = true;
            call->attempts.back().answer->break_connection(false);
        }
        this->calls.push_back(std::move(call));
    }

    /// Lets callers retry orders, disconnect from streams and resume them, depending on the answers
    /// received so far.
    void process_answers()
    {
        for (auto& call : this->calls) {
            this->process_answers(*call);
        }
    }

    std::vector<std::unique_ptr<fault_call>> calls;

private:
    static constexpr std::size_t max_attempts = 4;
    static constexpr duration order_timeout = std::chrono::seconds{6};

    void make_stream(fault_call& call, const std::string& number)
    {
        constexpr std::array<int, 4> lengths{5, 30, 120, 300};
        call.tokens = lengths[random_below(this->random, lengths.size())];
        call.text = "layout " + number + " of " + std::to_string(this->random());
        const auto seed = make_prompt("user: " + call.text + "\n").seed;
        call.expected =
            answer_text(seed, std::min<std::int64_t>(call.tokens, answer_length(seed).value()));
        if (random_below(this->random, 5) == 0) {
            call.disconnect_after =
                std::chrono::milliseconds{500 + random_below(this->random, 3000)};
        }
    }

    void send_attempt(fault_call& call, std::size_t index, header_list headers)
    {
        headers.emplace_back("Authorization", "Bearer key-1");
        http_request request{"GET", "/services/order-desk/" + call.text, headers, ""};
        if (call.type == fault_call::kind::stream) {
            const nlohmann::json body{{"model", "draft-llm"},
                                      {"stream", true},
                                      {"max_tokens", call.tokens},
                                      {"messages", {{{"role", "user"}, {"content", call.text}}}}};
            request = {"POST", "/v1/chat/completions", headers, body.dump()};
        }
        else if (call.type == fault_call::kind::order) {
            headers.emplace_back("Idempotency-Key", call.text);
            request = {"POST", "/services/order-desk/orders?ms=" + std::to_string(call.service_ms),
                       headers, "{}"};
        }
        call.attempts.push_back({index, this->fleet.time.now(),
                                 this->fleet.send(*this->fleet.nodes[index], std::move(request))});
    }

    [[nodiscard]] std::size_t other_node(std::size_t index)
    {
        return (index + 1 + random_below(this->random, this->fleet.nodes.size() - 1)) %
               this->fleet.nodes.size();
    }

    void process_answers(fault_call& call)
    {
        auto& last = call.attempts.back();
        if (!this->fleet.nodes[last.node]->alive && !last.answer->ended) {
            last.answer->break_connection(false);
        }
        const auto waited = this->fleet.time.now() - last.sent_at;
        if (call.type == fault_call::kind::order) {
            this->retry_order(call, waited);
            return;
        }
        if (call.type != fault_call::kind::stream || last.answer->ended) {
            return;
        }
        if (call.disconnect_after != duration::zero() && call.attempts.size() == 1 &&
            waited > call.disconnect_after && !last.answer->lost) {
            last.is_caller_gone = true;
            last.answer->break_connection(true);
        }
        this->resume_stream(call);
    }

    void retry_order(fault_call& call, duration waited)
    {
        const auto& last = call.attempts.back();
        const auto outcome = last.outcome();
        const bool should_retry = last.answer->ended ? outcome == "unknown" || outcome == "not-run"
                                                     : last.answer->lost || waited > order_timeout;
        if (should_retry && waited > std::chrono::milliseconds{300} &&
            call.attempts.size() < max_attempts) {
            this->send_attempt(call, this->other_node(last.node), {});
        }
    }

    void resume_stream(fault_call& call)
    {
        const auto& last = call.attempts.back();
        if (!last.answer->lost || call.attempts.size() >= max_attempts) {
            return;
        }
        const auto last_id = fault_stream{last.answer->body}.last_id;
        if (!last_id.empty()) {
            this->send_attempt(call, this->other_node(last.node), {{"Last-Event-ID", last_id}});
        }
    }

    virtual_fleet& fleet;
    random_source& random;
};

} // namespace eelgrassbend::fakes

#endif
