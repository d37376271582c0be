#include "eelgrassbend/duties/duty_lease.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

/// How often the state is looked at; a part of the renewal time.
static constexpr std::chrono::milliseconds tick_time{300};
/// A node that has just started does not know the other candidates yet; all would try at once.
static constexpr std::chrono::milliseconds first_look_time{900};
/// Between the tries of two candidates of neighbouring ranks.
static constexpr std::chrono::milliseconds rank_delay{600};

duty_lease::duty_lease(record_store& store, scheduler& time, event_log& log,
                       const duty_candidates& candidates, duty_lease_settings settings)
    : store(store),
      time(time),
      log(log),
      candidates(candidates),
      settings(std::move(settings)),
      timer(time, tick_time)
{
}

void duty_lease::start()
{
    this->started = this->time.now();
    this->timer.start([this] { this->tick(); });
}

void duty_lease::resign()
{
    this->is_resigned = true;
    if (this->held) {
        this->lose("node is leaving");
    }
}

std::optional<fencing_token> duty_lease::token() const
{
    const bool is_valid =
        this->time.now() - this->renewed_at < this->settings.length - this->settings.margin;
    return is_valid ? this->held : std::nullopt;
}

void duty_lease::fenced_off(fencing_token token)
{
    if (this->held == token) {
        this->lose("a higher fencing token was seen");
    }
}

void duty_lease::lose(const char* reason)
{
    this->log.write(log_level::info, "duty_lost",
                    {{"token", this->held->value()}, {"reason", reason}});
    this->held.reset();
    this->still_since.reset();
}

void duty_lease::tick()
{
    const auto now = this->time.now();
    if (this->call_under_way || this->is_resigned || now - this->started < first_look_time) {
        return;
    }
    if (this->held) {
        if (now - this->renewed_at >= this->settings.renewal) {
            this->append(true);
        }
        return;
    }
    if (this->candidates.other_holder_heard()) {
        this->still_since.reset();
        return;
    }
    const auto wait = this->settings.length + rank_delay * this->candidates.rank();
    if (!this->still_since || now - *this->still_since >= wait) {
        this->look();
    }
}

void duty_lease::look()
{
    this->call_under_way = true;
    this->store.read(this->settings.topic, this->end, duration::zero(),
                     this->scope.guard([this](const result<store_page>& page) {
                         this->call_under_way = false;
                         this->looked(page);
                     }));
}

// A holder appends at least once in a lease. If the end has stayed where it was for a lease, the
// former holder has stopped by its own clock.
void duty_lease::looked(const result<store_page>& page)
{
    const auto now = this->time.now();
    if (!page) {
        this->log.write(log_level::warning, "lease_read_failed",
                        {{"error", page.error().to_string()}});
        this->still_since.reset();
        return;
    }
    if (page.value().first_retained > this->end) {
        this->end = page.value().first_retained; // older records have expired
        this->still_since.reset();
        return;
    }
    const auto seen = page.value().end;
    const bool is_unused = seen == log_offset{} && this->candidates.rank() == 0;
    const bool is_still = this->still_since && seen == this->end;
    this->end = seen;
    if (is_unused || is_still) {
        this->append(false);
        return;
    }
    this->still_since = now;
}

// Fails if another node has appended since this one looked.
void duty_lease::append(bool is_renewal)
{
    this->call_under_way = true;
    const auto asked = this->time.now();
    this->store.append(
        this->settings.topic, {{log_offset{}, {}, this->settings.node.value()}}, this->end,
        this->scope.guard([this, asked, is_renewal](const result<append_answer>& answer) {
            this->call_under_way = false;
            this->appended(asked, is_renewal, answer);
        }));
}

// An append whose answer is lost may have taken effect: the end is then not where it was, and the
// node starts again as a candidate.
void duty_lease::appended(monotonic_time asked, bool is_renewal,
                          const result<append_answer>& answer)
{
    if (!answer) {
        this->log.write(log_level::warning, "lease_append_failed",
                        {{"renewal", is_renewal}, {"error", answer.error().to_string()}});
        const bool was_not_done =
            answer.error().code == errc::unavailable || answer.error().code == errc::rate_limited;
        if (this->held && !was_not_done) {
            this->lose("the answer to the renewal was lost");
        }
        return;
    }
    this->end = answer.value().end;
    if (!answer.value().appended) {
        if (this->held) {
            this->lose("another node took over");
        }
        this->still_since.reset();
        return;
    }
    this->renewed_at = asked;
    if (is_renewal || this->is_resigned) {
        return;
    }
    // Offsets begin at 0, tokens at 1.
    this->held = fencing_token{answer.value().offset.value() + 1};
    this->log.write(log_level::info, "duty_acquired", {{"token", this->held->value()}});
}

} // namespace eelgrassbend
