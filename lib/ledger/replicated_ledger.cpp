#include "eelgrassbend/ledger/replicated_ledger.h"

#include "eelgrassbend/ledger/ledger_record.h"

#include "ledger_replicas.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr const char* intend_step = "replicate ledger line";

replicated_ledger::replicated_ledger(const ledger_settings& settings,
                                     const ledger_dependencies& dependencies)
    : settings(settings),
      on(dependencies),
      session(dependencies.random()),
      replicas(std::make_unique<ledger_replicas>(
          this->settings, this->on, [this](const ledger_line& line) { return this->adopt(line); }))
{
}

replicated_ledger::~replicated_ledger() = default;

void replicated_ledger::start()
{
    this->replicas->start();
    // Nodes that start together must not append together for ever.
    this->next_append = this->on.timer.now() + this->random_up_to(this->append_interval());
    this->on.members.on_change([this](const member& changed) { this->on_member_change(changed); });
}

void replicated_ledger::stop(std::function<void()> done)
{
    this->replicas->stop();
    this->flush([done = std::move(done)](const result<void>&) { done(); });
}

std::size_t replicated_ledger::held() const
{
    return this->replicas->lines();
}

bool replicated_ledger::has_room(double share) const
{
    const auto count = static_cast<double>(this->lines.size());
    const auto size = static_cast<double>(this->bytes);
    return count < share * static_cast<double>(this->settings.open_lines) &&
           size < share * static_cast<double>(this->settings.open_bytes);
}

bool replicated_ledger::accepts_work() const
{
    return this->has_room(this->settings.accept_share);
}

void replicated_ledger::intend(const ledger_line& line, done_handler handler)
{
    ++this->counts.intents;
    if (!this->has_room(1.0)) {
        ++this->counts.intents_failed;
        handler(make_error(errc::unavailable, intend_step, {}, "too many lines wait for the log"));
        return;
    }
    if (this->lines.contains(line.request)) {
        ++this->counts.intents_failed;
        handler(make_error(errc::conflict, intend_step, {}, "request has a line"));
        return;
    }
    this->add(line, line_stage::intended, std::move(handler));
}

void replicated_ledger::add(const ledger_line& line, line_stage stage, done_handler handler)
{
    auto& open = this->lines[line.request];
    open.line = line;
    open.stage = stage;
    this->bytes += size_of(line);
    if (handler) {
        open.intent = std::move(handler);
        open.intent_timer =
            this->on.timer.call_after(this->settings.intend_timeout,
                                      [this, id = line.request] { this->on_intent_timeout(id); });
    }
    this->replicate(line.request, open);
    this->settle_intent(open);
}

void replicated_ledger::remove(const request_id& request)
{
    const auto found = this->lines.find(request);
    if (found == this->lines.end()) {
        return;
    }
    for (const auto& peer : found->second.asked) {
        if (const auto box = this->outboxes.find(peer); box != this->outboxes.end()) {
            box->second.lines.erase(request);
            box->second.drops.insert(request);
            this->schedule_outbox(peer, this->settings.drop_window);
        }
    }
    this->on.timer.cancel(found->second.intent_timer);
    this->bytes -= size_of(found->second.line);
    this->needy.erase(request);
    this->lines.erase(found);
}

bool replicated_ledger::is_held(const open_line& open, std::size_t count) const
{
    const auto holding =
        std::count_if(open.holders.begin(), open.holders.end(),
                      [&](const auto& holder) { return holder.second >= open.stage; });
    return static_cast<std::size_t>(holding) >= count;
}

void replicated_ledger::settle_intent(open_line& open)
{
    if (open.intent && this->is_held(open, this->settings.replicas)) {
        this->on.timer.cancel(open.intent_timer);
        std::exchange(open.intent, nullptr)(boost::outcome_v2::success());
    }
}

void replicated_ledger::on_intent_timeout(const request_id& request)
{
    auto& open = this->lines.at(request);
    const auto handler = std::exchange(open.intent, nullptr);
    if (this->is_held(open, this->settings.least_replicas)) {
        handler(boost::outcome_v2::success());
        return;
    }
    ++this->counts.intents_failed;
    this->remove(request);
    handler(make_error(errc::timed_out, intend_step, {}, "no replica in another zone"));
}

void replicated_ledger::confirm(const request_id& request)
{
    const auto found = this->lines.find(request);
    if (found == this->lines.end() || found->second.intent ||
        found->second.stage != line_stage::intended) {
        return;
    }
    ++this->counts.confirmed;
    found->second.stage = line_stage::confirmed;
    this->queue.push_back(request);
    this->replicate(request, found->second);
    this->schedule_append(this->settings.append_window);
}

void replicated_ledger::cancel(const request_id& request)
{
    const auto found = this->lines.find(request);
    if (found == this->lines.end() || found->second.stage != line_stage::intended) {
        return;
    }
    ++this->counts.cancelled;
    const auto handler = std::exchange(found->second.intent, nullptr);
    this->remove(request);
    if (handler) {
        handler(make_error(errc::cancelled, intend_step));
    }
}

bool replicated_ledger::adopt(const ledger_line& line)
{
    if (this->lines.contains(line.request)) {
        return true;
    }
    if (!this->accepts_work()) {
        return false;
    }
    ++this->counts.adopted;
    this->add(line, line_stage::confirmed, nullptr);
    this->queue.push_back(line.request);
    this->schedule_append(this->settings.append_window);
    return true;
}

// The constant rate of all nodes together keeps the log's limit, whatever the number of nodes.
duration replicated_ledger::append_interval() const
{
    const auto nodes = static_cast<double>(this->on.members.peers().size() + 1);
    const std::chrono::duration<double> apart{nodes / this->settings.appends_per_second};
    return std::max(this->settings.append_window, std::chrono::duration_cast<duration>(apart));
}

duration replicated_ledger::random_up_to(duration bound)
{
    const auto count = static_cast<std::uint64_t>(bound.count());
    return duration{static_cast<std::int64_t>(random_below(this->on.random, count + 1))};
}

void replicated_ledger::schedule_append(duration delay)
{
    if (this->append_scheduled || this->appending || this->queue.empty()) {
        return;
    }
    this->append_scheduled = true;
    const auto now = this->on.timer.now();
    const auto due = this->flushing ? now : this->next_append;
    const auto wait = std::max(delay, due - now);
    this->append_timer = this->on.timer.call_after(wait, [this] {
        this->append_scheduled = false;
        this->append();
    });
}

void replicated_ledger::append()
{
    if (this->appending || this->queue.empty()) {
        return;
    }
    std::vector<new_log_record> records;
    std::vector<request_id> sent;
    for (const auto& request : this->queue) {
        if (sent.size() == this->settings.batch_lines) {
            break;
        }
        sent.push_back(request);
        records.push_back(
            {record_id{request.value()}, encode_ledger_line(this->lines.at(request).line)});
    }
    this->appending = true;
    this->next_append = this->on.timer.now() + this->append_interval();
    ++this->counts.appends;
    this->on.log.append(stream_name{std::string{ledger_stream}}, std::move(records),
                        [this, sent = std::move(sent)](const auto& offsets) {
                            this->on_appended(sent, offsets.has_value(),
                                              offsets ? "" : offsets.error().to_string());
                        });
}

// After an unknown outcome the lines are appended again: the fold bills a request once.
void replicated_ledger::on_appended(const std::vector<request_id>& sent, bool succeeded,
                                    const std::string& why)
{
    static constexpr int most_doublings = 4;
    this->appending = false;
    if (!succeeded) {
        ++this->counts.append_failures;
        const auto longest = this->settings.retry_delay * (1 << this->failures);
        // Nodes that failed together must not try again together.
        const auto delay = longest / 2 + this->random_up_to(longest);
        this->next_append = this->on.timer.now();
        this->failures = std::min(this->failures + 1, most_doublings);
        this->on.events.write(log_level::warning, "ledger_append_failed",
                              {{"waiting", this->queue.size()}, {"error", why}});
        this->schedule_append(delay);
        return;
    }
    this->failures = 0;
    this->counts.appended_lines += sent.size();
    this->queue.erase(this->queue.begin(),
                      this->queue.begin() + static_cast<std::ptrdiff_t>(sent.size()));
    for (const auto& request : sent) {
        this->remove(request);
    }
    this->schedule_append(this->flushing ? duration::zero() : this->settings.append_window);
}

std::size_t replicated_ledger::unheld_confirmed() const
{
    const auto unheld =
        std::count_if(this->queue.begin(), this->queue.end(), [this](const auto& request) {
            return !this->is_held(this->lines.at(request), 1);
        });
    return static_cast<std::size_t>(unheld);
}

void replicated_ledger::flush(done_handler handler)
{
    this->flushing = true;
    this->failures = 0;
    if (this->append_scheduled) {
        this->on.timer.cancel(this->append_timer);
        this->append_scheduled = false;
    }
    this->append();
    this->wait_for_flush(this->on.timer.now() + this->settings.flush_timeout,
                         std::make_shared<done_handler>(std::move(handler)));
}

void replicated_ledger::wait_for_flush(monotonic_time give_up,
                                       const std::shared_ptr<done_handler>& handler)
{
    static constexpr duration poll = std::chrono::milliseconds{20};
    if (this->flushing && !this->appending && !this->queue.empty() && this->failures == 0) {
        this->append();
    }
    const bool late = this->on.timer.now() >= give_up;
    const auto unheld = this->queue.empty() ? 0 : this->unheld_confirmed();
    if (this->queue.empty() || (unheld == 0 && (late || this->failures > 0))) {
        this->flushing = false;
        (*handler)(boost::outcome_v2::success());
        return;
    }
    if (late) {
        this->flushing = false;
        (*handler)(make_error(errc::timed_out, "flush ledger", "platform log",
                              std::to_string(unheld) + " lines are held by no peer"));
        return;
    }
    this->on.timer.call_after(poll,
                              [this, give_up, handler] { this->wait_for_flush(give_up, handler); });
}

} // namespace eelgrassbend
