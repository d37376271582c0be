#ifndef EELGRASSBEND_UNITTESTS_FAKES_VIRTUAL_ENDPOINTS_H
#define EELGRASSBEND_UNITTESTS_FAKES_VIRTUAL_ENDPOINTS_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_watcher.h"
#include "eelgrassbend/endpoints/http_endpoint_probe.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/standin/endpoint.h"
#include "eelgrassbend/standin/engine_standin.h"
#include "eelgrassbend/support/scheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// A connection's answer on its way from a stand-in endpoint to an attempt.
class virtual_answer : public standin::http_answer {
public:
    using piece = std::function<void(attempt_observer&)>;
    /// Carries a piece of the answer over the network.
    using carrier = std::function<void(piece)>;

    explicit virtual_answer(carrier carry) : carry(std::move(carry)) {}

    void send(int status, std::string body, standin::http_fields fields = {}) override
    {
        this->begin(status, std::move(fields));
        this->write(std::move(body));
        this->end();
    }

    void begin(int status, standin::http_fields fields) override
    {
        this->carry([status, fields = std::move(fields)](attempt_observer& observer) {
            observer.on_head(status, fields);
        });
    }

    void write(std::string bytes) override
    {
        this->carry(
            [bytes = std::move(bytes)](attempt_observer& observer) { observer.on_body(bytes); });
    }

    void end() override
    {
        if (auto told = std::exchange(this->sent, nullptr)) {
            told();
        }
        this->carry([](attempt_observer& observer) { observer.on_completed(); });
    }

    void abort() override
    {
        this->carry([](attempt_observer& observer) {
            observer.on_failed(make_error(errc::truncated, "read answer", "virtual endpoint"),
                               dispatch_state::maybe_sent);
        });
    }

    void on_sent(std::function<void()> handler) override { this->sent = std::move(handler); }

    void on_closed(std::function<void()> handler) override { this->closed = std::move(handler); }

    /// The other side has gone.
    void close()
    {
        if (auto told = std::exchange(this->closed, nullptr)) {
            told();
        }
    }

private:
    carrier carry;
    std::function<void()> sent;
    std::function<void()> closed;
};

/// One stand-in endpoint under virtual time.
struct virtual_endpoint {
    virtual_endpoint(scheduler& time, host_entry place, standin::engine_standin_settings given)
        : host(std::move(place)),
          settings(std::move(given)),
          behind(standin::make_endpoint(this->settings, time, this->executions))
    {
    }

    host_entry host;
    standin::engine_standin_settings settings;
    standin::execution_log executions{""};
    std::unique_ptr<standin::endpoint> behind;
    bool alive = true;
    /// Connections opened before this number of attempts never hear anything again.
    std::uint64_t silent_before = 0;
    std::vector<std::weak_ptr<struct virtual_attempt>> attempts;
};

/// All endpoints, and the network between them and the entry nodes.
class virtual_endpoints {
public:
    explicit virtual_endpoints(scheduler& time) : time(time) {}

    virtual_endpoint& add(host_entry place, standin::engine_standin_settings settings)
    {
        const auto address = place.address;
        auto& made = this->by_address[address];
        made =
            std::make_unique<virtual_endpoint>(this->time, std::move(place), std::move(settings));
        return *made;
    }

    [[nodiscard]] virtual_endpoint* find(const network_address& address)
    {
        const auto found = this->by_address.find(address);
        return found == this->by_address.end() ? nullptr : found->second.get();
    }

    [[nodiscard]] virtual_endpoint& named(const std::string& name)
    {
        for (auto& [address, entry] : this->by_address) {
            if (entry->host.name.value() == name) {
                return *entry;
            }
        }
        throw std::logic_error("no endpoint " + name);
    }

    /// The endpoint's process ends at once; its connections are reset.
    void kill(const std::string& name);
    /// Every open connection to the endpoint goes silent for good.
    void silence(const std::string& name);

    [[nodiscard]] std::vector<host_entry> hosts() const
    {
        std::vector<host_entry> list;
        for (const auto& [address, entry] : this->by_address) {
            list.push_back(entry->host);
        }
        return list;
    }

    [[nodiscard]] const auto& all() const { return this->by_address; }

    duration latency = std::chrono::microseconds{500}; ///< one way
    scheduler& time;

private:
    std::map<network_address, std::unique_ptr<virtual_endpoint>> by_address;
};

/// One attempt on its way.
struct virtual_attempt : std::enable_shared_from_this<virtual_attempt> {
    virtual_attempt(virtual_endpoints& network, scheduler& node, network_address address,
                    endpoint_request request, attempt_observer& observer)
        : network(network),
          node(node),
          address(std::move(address)),
          request(std::move(request)),
          observer(&observer)
    {
    }

    void start()
    {
        this->answer = std::make_shared<virtual_answer>(
            [weak = this->weak_from_this()](virtual_answer::piece piece) {
                if (const auto self = weak.lock()) {
                    self->carry_back(std::move(piece));
                }
            });
        this->expect_progress();
        this->node.call_after(this->network.latency,
                              [self = this->shared_from_this()] { self->arrive(); });
    }

    void arrive()
    {
        auto* target = this->network.find(this->address);
        if (this->observer == nullptr) {
            return;
        }
        if (target == nullptr || !target->alive) {
            this->fail(errc::unavailable, dispatch_state::not_sent);
            return;
        }
        target->attempts.push_back(this->weak_from_this());
        standin::http_request call;
        call.method = this->request.method;
        const auto question = this->request.target.find('?');
        call.path = this->request.target.substr(0, question);
        if (question != std::string::npos && this->request.target.substr(question, 4) == "?ms=") {
            call.query["ms"] = this->request.target.substr(question + 4);
        }
        call.fields = this->request.headers;
        call.fields.emplace_back("X-Attempt-Id", this->request.attempt.value());
        call.body = this->request.body;
        target->behind->serve(call, this->answer);
    }

    // What the endpoint sends arrives later, in order, unless the connection has gone silent.
    void carry_back(virtual_answer::piece piece)
    {
        this->network.time.call_after(
            this->network.latency, [self = this->shared_from_this(), piece = std::move(piece)] {
                self->node.call_after(duration::zero(), [self, piece] { self->deliver(piece); });
            });
    }

    void deliver(const virtual_answer::piece& piece)
    {
        if (this->observer == nullptr || this->silent) {
            return;
        }
        this->expect_progress();
        auto* told = this->observer;
        ending_observer guard{*told, *this};
        piece(guard);
    }

    void fail(errc code, dispatch_state state)
    {
        if (auto* told = std::exchange(this->observer, nullptr)) {
            this->node.cancel(this->progress);
            told->on_failed(make_error(code, "call endpoint", this->address.to_string()), state);
        }
    }

    void cancel()
    {
        this->observer = nullptr;
        this->node.cancel(this->progress);
        if (!this->silent) {
            this->network.time.call_after(this->network.latency,
                                          [answer = this->answer] { answer->close(); });
        }
    }

    void expect_progress()
    {
        this->node.cancel(this->progress);
        this->progress =
            this->node.call_after(this->request.progress_timeout, [weak = this->weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->fail(errc::timed_out, dispatch_state::maybe_sent);
                }
            });
    }

    /// Forgets the observer when the attempt ends.
    class ending_observer : public attempt_observer {
    public:
        ending_observer(attempt_observer& told, virtual_attempt& attempt)
            : told(told), attempt(attempt)
        {
        }

        void on_head(int status, const header_list& headers) override
        {
            this->told.on_head(status, headers);
        }

        void on_body(std::string_view bytes) override { this->told.on_body(bytes); }

        void on_completed() override
        {
            this->end();
            this->told.on_completed();
        }

        void on_failed(const error& reason, dispatch_state state) override
        {
            this->end();
            this->told.on_failed(reason, state);
        }

    private:
        void end()
        {
            this->attempt.observer = nullptr;
            this->attempt.node.cancel(this->attempt.progress);
        }

        attempt_observer& told;
        virtual_attempt& attempt;
    };

    virtual_endpoints& network;
    scheduler& node;
    network_address address;
    endpoint_request request;
    attempt_observer* observer;
    std::shared_ptr<virtual_answer> answer;
    timer_id progress;
    bool silent = false;
};

inline void virtual_endpoints::kill(const std::string& name)
{
    auto& killed = this->named(name);
    killed.alive = false;
    for (const auto& weak : std::exchange(killed.attempts, {})) {
        const auto attempt = weak.lock();
        if (attempt && !attempt->silent) {
            attempt->node.call_after(this->latency, [attempt] {
                attempt->fail(errc::truncated, dispatch_state::maybe_sent);
            });
            attempt->answer->close();
        }
    }
}

inline void virtual_endpoints::silence(const std::string& name)
{
    for (const auto& weak : this->named(name).attempts) {
        if (const auto attempt = weak.lock()) {
            attempt->silent = true;
        }
    }
}

/// One entry node's connections to the endpoints.
class virtual_endpoint_client : public endpoint_client {
public:
    virtual_endpoint_client(virtual_endpoints& network, scheduler& node)
        : network(network), node(node)
    {
    }

    std::unique_ptr<attempt_handle> dispatch(const network_address& address,
                                             endpoint_request request,
                                             attempt_observer& observer) override
    {
        auto attempt = std::make_shared<virtual_attempt>(this->network, this->node, address,
                                                         std::move(request), observer);
        attempt->start();
        return std::make_unique<handle>(std::move(attempt));
    }

private:
    class handle : public attempt_handle {
    public:
        explicit handle(std::shared_ptr<virtual_attempt> attempt) : attempt(std::move(attempt)) {}

        handle(const handle&) = delete;
        handle& operator=(const handle&) = delete;

        ~handle() override
        {
            if (this->attempt->observer != nullptr) {
                this->attempt->cancel();
            }
        }

    private:
        std::shared_ptr<virtual_attempt> attempt;
    };

    virtual_endpoints& network;
    scheduler& node;
};

/// Reads load and cache events of stand-in endpoints.
class virtual_probe : public endpoint_probe {
public:
    virtual_probe(virtual_endpoints& network, scheduler& node) : network(network), node(node) {}

    void fetch_load(const network_address& address,
                    std::function<void(result<load_report>)> handler) override
    {
        this->node.call_after(2 * this->network.latency, [this, address, handler] {
            auto* target = this->network.find(address);
            if (target == nullptr || !target->alive) {
                handler(make_error(errc::unavailable, "probe endpoint", address.to_string()));
                return;
            }
            handler(target->behind->load());
        });
    }

    void fetch_events(const network_address& address, std::uint64_t from,
                      std::function<void(result<cache_events>)> handler) override
    {
        auto* target = this->network.find(address);
        if (target == nullptr || !target->alive ||
            target->settings.mode == standin::endpoint_mode::plain) {
            this->node.call_after(this->network.latency, [address, handler] {
                handler(make_error(errc::unavailable, "probe endpoint", address.to_string()));
            });
            return;
        }
        standin::http_request call;
        call.method = "GET";
        call.path = "/v1/cache-events";
        call.query["from"] = std::to_string(from);
        auto text = std::make_shared<std::string>();
        auto collected = std::make_shared<collecting_observer>(text, handler);
        const auto answer =
            std::make_shared<virtual_answer>([this, collected](const virtual_answer::piece& piece) {
                this->node.call_after(this->network.latency,
                                      [collected, piece] { piece(*collected); });
            });
        target->behind->serve(call, answer);
    }

private:
    class collecting_observer : public attempt_observer {
    public:
        collecting_observer(std::shared_ptr<std::string> text,
                            std::function<void(result<cache_events>)> handler)
            : text(std::move(text)), handler(std::move(handler))
        {
        }

        void on_head(int, const header_list&) override {}

        void on_body(std::string_view bytes) override { *this->text += bytes; }

        void on_completed() override { this->handler(parse_cache_events(*this->text)); }

        void on_failed(const error& reason, dispatch_state) override { this->handler(reason); }

    private:
        std::shared_ptr<std::string> text;
        std::function<void(result<cache_events>)> handler;
    };

    virtual_endpoints& network;
    scheduler& node;
};

} // namespace eelgrassbend::fakes

#endif
