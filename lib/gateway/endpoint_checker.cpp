#include "eelgrassbend/gateway/endpoint_checker.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>

namespace eelgrassbend {

/// The rest of a longer body is not read, and its connection is closed.
static constexpr std::size_t max_body_bytes = 16 * 1024;

static constexpr int first_server_error = 500;
static constexpr int status_misdirected = 421;

/// One call of a health path. Its result is reported once, when the answer is complete: the
/// connection is then kept for the first requests.
class endpoint_checker::health_call : public attempt_observer {
public:
    health_call(endpoint_checker& owner, const endpoint_record& record, const std::string& target)
        : owner(owner), endpoint(record.id)
    {
        endpoint_request request;
        request.method = "GET";
        request.target = target;
        // The answer has no id by which the repeat of an earlier one could be recognised.
        request.needs_new_connection = true;
        this->timer = owner.dependencies.time.call_after(owner.settings.timeout, [this] {
            this->timer.reset();
            this->finish();
        });
        this->handle = owner.dependencies.client.dispatch(record.address, request, *this);
    }

    ~health_call() override
    {
        if (this->timer) {
            this->owner.dependencies.time.cancel(*this->timer);
        }
    }

    health_call(const health_call&) = delete;
    health_call& operator=(const health_call&) = delete;

    void on_head(int head_status, const header_list& headers) override
    {
        this->status = head_status;
        this->result = judge(this->endpoint,
                             this->owner.dependencies.protocol.parse_answer(head_status, headers));
    }

    void on_body(std::string_view bytes) override
    {
        this->body_bytes += bytes.size();
        if (this->body_bytes > max_body_bytes) {
            this->finish();
        }
    }

    void on_completed() override { this->finish(); }

    void on_failed(const error& /*reason*/, dispatch_state /*dispatched*/) override
    {
        this->finish();
    }

private:
    /// Destroys this object.
    void finish()
    {
        const endpoint_id called = this->endpoint;
        this->owner.handle_result(called, this->result, this->status);
    }

    endpoint_checker& owner;
    endpoint_id endpoint;
    verdict result = verdict::no_answer;
    int status = 0;
    std::size_t body_bytes = 0;
    std::optional<timer_id> timer;
    std::unique_ptr<attempt_handle> handle;
};

/// The check of one incarnation at one address: calls, until one has a result.
struct endpoint_checker::pending_check {
    pending_check(scheduler& time, endpoint_record checked, duration pause, monotonic_time now)
        : time(time), record(std::move(checked)), next_pause(pause), requested_at(now)
    {
    }

    ~pending_check()
    {
        if (this->timer) {
            this->time.cancel(*this->timer);
        }
    }

    pending_check(const pending_check&) = delete;
    pending_check& operator=(const pending_check&) = delete;

    [[nodiscard]] bool is_of(const endpoint_record& known) const
    {
        return known.started == this->record.started && known.address == this->record.address &&
               known.service == this->record.service;
    }

    scheduler& time;
    endpoint_record record;
    duration next_pause;
    monotonic_time requested_at;
    int attempts = 0;
    std::unique_ptr<health_call> call; ///< in flight
    std::optional<timer_id> timer;     ///< of the pause before the next call
};

endpoint_checker::endpoint_checker(const check_dependencies& dependencies, check_settings settings)
    : dependencies(dependencies), settings(settings)
{
}

endpoint_checker::~endpoint_checker() = default;

const char* endpoint_checker::to_text(verdict result)
{
    switch (result) {
    case verdict::accepts_work:
        return "accepts_work";
    case verdict::leaving:
        return "leaving";
    case verdict::failing:
        return "failing";
    case verdict::other_endpoint:
        return "other_endpoint";
    case verdict::no_answer:
        break;
    }
    return "no_answer";
}

// An endpoint without capacity may refuse the check like any other request. It announces in all its
// answers that it leaves, so a refusal proves as much as a success.
endpoint_checker::verdict endpoint_checker::judge(const endpoint_id& called,
                                                  const forward_answer_fields& answer)
{
    const bool is_named = !answer.endpoint.value().empty();
    if ((is_named && answer.endpoint != called) || answer.status == status_misdirected) {
        return verdict::other_endpoint;
    }
    if (answer.is_leaving) {
        return verdict::leaving;
    }
    const bool is_failing = answer.status >= first_server_error && !answer.is_not_run;
    return is_failing ? verdict::failing : verdict::accepts_work;
}

void endpoint_checker::set_table(std::shared_ptr<const route_table> declared)
{
    this->table = std::move(declared);
    std::vector<endpoint_record> unchecked;
    for (const auto& [id, known] : this->dependencies.endpoints.all()) {
        if (!known.is_checked && !known.record.is_draining) {
            unchecked.push_back(known.record);
        }
    }
    for (const auto& record : unchecked) {
        this->request_check(record);
    }
}

void endpoint_checker::request_check(const endpoint_record& record)
{
    if (!this->table || this->table->find_service(record.service) == nullptr) {
        return;
    }
    const auto found = this->checks.find(record.id);
    if (found != this->checks.end() && found->second->is_of(record)) {
        return;
    }
    this->remove(record.id);
    this->checks.emplace(record.id, std::make_unique<pending_check>(this->dependencies.time, record,
                                                                    this->settings.retry_pause,
                                                                    this->dependencies.time.now()));
    this->waiting.push_back(record.id);
    this->start_waiting();
}

// In random order: nodes that start at the same time would otherwise all begin with the same
// endpoint, which accepts a limited number of connections.
void endpoint_checker::start_waiting()
{
    while (this->calls < this->settings.max_calls && !this->waiting.empty()) {
        const auto chosen = random_below(this->dependencies.random, this->waiting.size());
        std::swap(this->waiting[chosen], this->waiting.back());
        const endpoint_id id = this->waiting.back();
        this->waiting.pop_back();
        const auto found = this->checks.find(id);
        if (found == this->checks.end() || found->second->call || found->second->timer) {
            continue;
        }
        if (!this->is_needed(*found->second)) {
            this->remove(id);
            continue;
        }
        this->start(*found->second);
    }
}

bool endpoint_checker::is_needed(const pending_check& pending) const
{
    const auto* known = this->dependencies.endpoints.find(pending.record.id);
    return known != nullptr && !known->is_checked && !known->record.is_draining &&
           pending.is_of(known->record);
}

void endpoint_checker::start(pending_check& next)
{
    const auto* service = this->table->find_service(next.record.service);
    if (service == nullptr || service->health_path.empty()) {
        const endpoint_incarnation accepted{next.record.id, next.record.started};
        const bool is_declared = service != nullptr;
        this->remove(accepted.endpoint);
        if (is_declared) {
            this->dependencies.endpoints.mark_checked(accepted);
        }
        return;
    }
    ++this->calls;
    ++next.attempts;
    next.call = std::make_unique<health_call>(*this, next.record, service->health_path);
}

void endpoint_checker::handle_result(const endpoint_id& id, verdict result, int status)
{
    auto& ended = *this->checks.at(id);
    ended.call.reset();
    --this->calls;
    const bool is_needed = this->is_needed(ended);
    this->report(ended, result, status);
    if (is_needed && result != verdict::accepts_work && result != verdict::leaving) {
        this->repeat_later(ended);
        this->start_waiting();
        return;
    }
    const endpoint_incarnation checked{id, ended.record.started};
    this->remove(id);
    if (is_needed && result == verdict::accepts_work) {
        this->dependencies.endpoints.mark_checked(checked);
    }
    else if (is_needed) {
        this->dependencies.endpoints.mark_draining_from_answer(id, this->dependencies.time.now());
    }
    this->start_waiting();
}

void endpoint_checker::repeat_later(pending_check& failed)
{
    const auto pause =
        part_of(0.5 + 0.5 * random_unit(this->dependencies.random), failed.next_pause);
    failed.next_pause = std::min(2 * failed.next_pause, this->settings.max_retry_pause);
    failed.timer = this->dependencies.time.call_after(pause, [this, id = failed.record.id] {
        this->checks.at(id)->timer.reset();
        this->waiting.push_back(id);
        this->start_waiting();
    });
}

void endpoint_checker::remove(const endpoint_id& id)
{
    const auto found = this->checks.find(id);
    if (found == this->checks.end()) {
        return;
    }
    if (found->second->call) {
        --this->calls;
    }
    this->checks.erase(found);
}

// Repeated calls of an endpoint that is down would fill the log.
void endpoint_checker::report(const pending_check& ended, verdict result, int status) const
{
    const bool is_repeat = result != verdict::accepts_work && ended.attempts > 1;
    const auto spent = this->dependencies.time.now() - ended.requested_at;
    this->dependencies.log.write(is_repeat ? log_level::debug : log_level::info, "endpoint_checked",
                                 {{"endpoint", ended.record.id.value()},
                                  {"result", to_text(result)},
                                  {"status", status},
                                  {"attempts", ended.attempts},
                                  {"time_ms", whole_milliseconds(spent)}});
    this->dependencies.counters.count("eelgrassbend_endpoint_checks_total",
                                      {{"result", to_text(result)}}, 1);
}

} // namespace eelgrassbend
