#include "eelgrassbend/duties/duty_lease.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Interval between checks of the lease state; a fraction of the renewal interval.
static constexpr std::chrono::milliseconds tick_interval{300};
/// Delay before the first claim. A node that has just started does not know the other candidates
/// yet; all would claim the lease at once.
static constexpr std::chrono::milliseconds startup_delay{900};
/// Delay between the claims of candidates of adjacent ranks.
static constexpr std::chrono::milliseconds rank_delay{600};

/// Bits of a fencing token that hold the offset; the others hold the era of the store.
static constexpr unsigned token_offset_bits = 32;

/// Most records of one claim; a store restored from an older copy lacks some seconds of renewals.
static constexpr std::uint64_t max_records_of_claim = 1'000;

/// Nothing if the era or the offset is too large.
static std::optional<fencing_token> make_token(store_era era, log_offset offset)
{
    const auto number = offset.value() + 1; // offsets start at 0, tokens at 1
    if (number >> token_offset_bits != 0 || era.value() >> token_offset_bits != 0) {
        return std::nullopt;
    }
    return fencing_token{(era.value() << token_offset_bits) | number};
}

duty_lease::duty_lease(record_store& store, scheduler& time, event_log& log,
                       const duty_candidates& candidates, duty_lease_settings settings)
    : store(store),
      time(time),
      log(log),
      candidates(candidates),
      settings(std::move(settings)),
      timer(time, tick_interval)
{
}

void duty_lease::start()
{
    this->started_at = this->time.now();
    this->timer.start([this] { this->tick(); });
}

void duty_lease::resign()
{
    this->is_resigned = true;
    if (this->held_token) {
        this->release("node is draining");
    }
}

std::optional<fencing_token> duty_lease::token() const
{
    const bool is_valid = this->time.now() - this->renewed_at <
                          this->settings.lease_time - this->settings.expiry_margin;
    return is_valid ? this->held_token : std::nullopt;
}

void duty_lease::on_fenced_off(fencing_token token)
{
    if (this->held_token == token) {
        this->release("a higher fencing token is in use");
    }
}

void duty_lease::release(const char* reason)
{
    this->log.write(
        log_level::info, "duty_lost",
        {{"token", this->held_token->value()}, {"end", this->end.value()}, {"reason", reason}});
    this->held_token.reset();
    this->unchanged_since.reset();
}

void duty_lease::tick()
{
    const auto now = this->time.now();
    if (this->is_call_in_flight || this->is_resigned || now - this->started_at < startup_delay) {
        return;
    }
    if (this->held_token) {
        if (now - this->renewed_at >= this->settings.renewal_interval) {
            this->append_record(true);
        }
        return;
    }
    if (this->candidates.has_other_holder()) {
        this->unchanged_since.reset();
        return;
    }
    const auto wait = this->settings.lease_time + rank_delay * this->candidates.rank();
    if (!this->unchanged_since || now - *this->unchanged_since >= wait) {
        this->read_log_end();
    }
}

void duty_lease::read_log_end()
{
    this->is_call_in_flight = true;
    this->store.read(this->settings.topic, this->end, duration::zero(),
                     this->scope.guard([this](const result<store_page>& page) {
                         this->is_call_in_flight = false;
                         this->on_log_read(page);
                     }));
}

// A holder appends at least once per lease time. If the end is unchanged for a full lease time, the
// former holder has stopped by its own clock.
void duty_lease::on_log_read(const result<store_page>& page)
{
    const auto now = this->time.now();
    if (!page) {
        this->handle_read_failure(page.error());
        return;
    }
    const auto page_era = page.value().era;
    if (this->era && page_era < *this->era) {
        this->handle_read_failure(earlier_era_error("read lease"));
        return;
    }
    if (this->era && page_era > *this->era) {
        this->begin_era(page_era, page.value().end);
        if (page.value().is_out_of_range) {
            this->unchanged_since.reset(); // the end of the log is still unknown
        }
        return;
    }
    this->era = page_era;
    if (page.value().first_retained > this->end || page.value().is_out_of_range) {
        this->end = page.value().first_retained;
        this->unchanged_since.reset();
        return;
    }
    const auto log_end = page.value().end;
    const bool is_first_claim =
        log_end == log_offset{} && this->candidates.rank() == 0 && !this->knows_earlier_era;
    const bool is_unchanged = this->unchanged_since && log_end == this->end;
    this->end = log_end;
    if (is_first_claim || is_unchanged) {
        this->append_record(false);
        return;
    }
    this->unchanged_since = now;
}

void duty_lease::handle_read_failure(const error& reason)
{
    this->log.write(log_level::warning, "lease_read_failed", {{"error", reason.to_string()}});
    this->unchanged_since.reset();
}

// A lease of the former era was last renewed before the restoration, so it has ended once the log
// has been observed for a lease time.
void duty_lease::begin_era(store_era begun, log_offset log_end)
{
    this->log.write(log_level::warning, "lease_log_restored",
                    {{"era", begun.value()},
                     {"former_era", this->era->value()},
                     {"end", log_end.value()},
                     {"former_end", this->end.value()}});
    if (this->held_token) {
        this->release("the store was restored from an older copy");
    }
    this->era = begun;
    this->knows_earlier_era = true;
    this->end = log_end;
    this->unchanged_since = this->time.now();
}

std::size_t duty_lease::records_of_claim() const
{
    const auto known = std::max(this->highest_held, this->candidates.highest_token());
    const auto next = make_token(*this->era, this->end);
    if (!next || known < *next) {
        return 1;
    }
    return std::min<std::uint64_t>((known - *next).value() + 2, max_records_of_claim);
}

// Fails if another node has appended since the last read.
void duty_lease::append_record(bool is_renewal)
{
    const store_record record{log_offset{}, {}, this->settings.node.value()};
    std::vector<store_record> records(is_renewal ? 1 : this->records_of_claim(), record);
    this->is_call_in_flight = true;
    const auto requested_at = this->time.now();
    this->store.append(
        this->settings.topic, std::move(records), this->end,
        this->scope.guard([this, requested_at, is_renewal](const result<append_answer>& answer) {
            this->is_call_in_flight = false;
            this->on_append_done(requested_at, is_renewal, answer);
        }));
}

// An append whose answer is lost may have taken effect. The end of the log has then moved, and the
// node becomes a candidate again.
void duty_lease::on_append_done(monotonic_time requested_at, bool is_renewal,
                                const result<append_answer>& answer)
{
    if (!answer) {
        this->handle_append_failure(is_renewal, answer.error());
        return;
    }
    if (answer.value().era < *this->era) {
        this->handle_append_failure(is_renewal, earlier_era_error("append to lease"));
        return;
    }
    // Where the log ends by chance at the expected offset, the append succeeds all the same.
    if (answer.value().era > *this->era) {
        this->begin_era(answer.value().era, answer.value().end);
        return;
    }
    this->end = answer.value().end;
    if (!answer.value().appended) {
        if (this->held_token) {
            this->release("another node acquired the lease");
        }
        this->unchanged_since.reset();
        return;
    }
    this->renewed_at = requested_at;
    if (is_renewal || this->is_resigned) {
        return;
    }
    this->acquire(answer.value());
}

void duty_lease::handle_append_failure(bool is_renewal, const error& reason)
{
    this->log.write(log_level::warning, "lease_append_failed",
                    {{"renewal", is_renewal}, {"error", reason.to_string()}});
    const bool is_not_executed =
        reason.code == errc::unavailable || reason.code == errc::rate_limited;
    if (this->held_token && !is_not_executed) {
        this->release("renewal outcome unknown");
    }
}

void duty_lease::acquire(const append_answer& answer)
{
    const auto last = answer.end - log_offset{1}; // of the records of the claim
    this->held_token = make_token(answer.era, last);
    if (!this->held_token) {
        this->log.write(log_level::error, "fencing_token_too_large",
                        {{"era", answer.era.value()}, {"offset", last.value()}});
        this->unchanged_since.reset();
        return;
    }
    this->highest_held = *this->held_token;
    this->log.write(log_level::info, "duty_acquired",
                    {{"token", this->held_token->value()},
                     {"era", answer.era.value()},
                     {"offset", last.value()}});
}

} // namespace eelgrassbend
