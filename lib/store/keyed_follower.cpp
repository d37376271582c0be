#include "eelgrassbend/store/keyed_follower.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Records that expired while the store was unavailable are written again within this time of its
/// recovery: two heartbeats of an endpoint, rounded up.
static constexpr std::chrono::milliseconds record_rewrite_time{2000};

/// Least time between two listings of the newest records because a position was lost.
static constexpr std::chrono::milliseconds min_restart_interval{500};

/// Out-of-order positions that are buffered before this node reads itself.
static constexpr std::size_t max_early_positions = 32;
/// Interval at which a node that relies on the relay checks whether it has to read itself.
static constexpr std::chrono::milliseconds relay_check_interval{200};

keyed_follower::keyed_follower(record_store& store, scheduler& time, random_source& random,
                               event_log& log, metrics& counters, topic_relay& relay,
                               store_topic topic, follower_settings settings,
                               keyed_observer& observer)
    : store(store),
      time(time),
      random(random),
      log(log),
      counters(counters),
      relay(relay),
      topic(std::move(topic)),
      settings(settings),
      observer(observer),
      next_retry(settings.retry_pause),
      next_page_retry(settings.retry_pause)
{
}

keyed_follower::~keyed_follower()
{
    for (const auto& each : {this->timer, this->page_timer}) {
        if (each) {
            this->time.cancel(*each);
        }
    }
}

void keyed_follower::start()
{
    this->restart();
}

void keyed_follower::restart()
{
    this->stop_reading();
    this->restarted_at = this->time.now();
    this->is_listing = true;
    this->snapshot_end.reset();
    this->listed.clear();
    this->snapshot_requested_at = this->time.now();
    this->read_newest({});
}

// Answers to reads of before are ignored. What was buffered may be of another era.
void keyed_follower::stop_reading()
{
    this->early_positions.clear();
    this->behind_since.reset();
    for (auto* each : {&this->timer, &this->page_timer}) {
        if (*each) {
            this->time.cancel(*std::exchange(*each, std::nullopt));
        }
    }
    ++this->listing;
    this->next_offset.reset();
}

void keyed_follower::read_newest(const std::string& after)
{
    const auto requested_at = this->time.now();
    this->page_start_key = after;
    this->store.read_newest(this->topic, after,
                            this->scope.guard([this, requested_at, started = this->listing](
                                                  const result<newest_page>& page) {
                                if (started == this->listing) {
                                    this->handle_newest_page(requested_at, page);
                                }
                            }));
}

// Pages already read are kept: when many nodes start at once, a slow store would otherwise receive
// requests for all of them again and again.
void keyed_follower::retry_newest_page()
{
    this->read_newest(this->page_start_key);
}

// The pages are no snapshot: records may change between them. The log is therefore read from its
// end as of the first page, and records that it repeats are applied again.
void keyed_follower::handle_newest_page(monotonic_time requested_at,
                                        const result<newest_page>& page)
{
    if (!page) {
        this->handle_page_failure(page.error());
        return;
    }
    if (!this->era) {
        this->era = page.value().era;
    }
    if (page.value().era < *this->era) {
        this->handle_page_failure(earlier_era_error("read records"));
        return;
    }
    if (page.value().era > *this->era) {
        this->begin_era(page.value().era);
        return;
    }
    this->next_page_retry = this->settings.retry_pause;
    if (!this->snapshot_end) {
        this->snapshot_end = page.value().end;
        this->snapshot_requested_at = requested_at;
    }
    if (page.value().skipped_records > 0) {
        this->log.write(log_level::warning, "records_skipped",
                        {{"topic", this->topic.name}, {"records", page.value().skipped_records}});
    }
    for (const auto& record : page.value().records) {
        this->apply(record, this->is_after_gap());
    }
    if (!page.value().has_more) {
        this->finish_newest();
        return;
    }
    if (page.value().records.empty()) {
        this->handle_page_failure(make_error(errc::invalid_argument, "read newest records", "store",
                                             "page has no key to continue after"));
        return;
    }
    this->read_newest(page.value().records.back().key);
}

// A failure of another kind concerns the store as a whole; the log could not be read either.
void keyed_follower::handle_page_failure(const error& reason)
{
    const bool is_unreadable = reason.code == errc::invalid_argument && this->snapshot_end;
    if (!is_unreadable && !this->next_offset) {
        this->handle_failure(reason);
        return;
    }
    this->record_failure(reason);
    this->page_timer = this->time.call_after(this->next_pause(this->next_page_retry), [this] {
        this->page_timer.reset();
        this->retry_newest_page();
    });
    if (!this->next_offset) {
        this->follow_without_page();
    }
}

// Changes of the keys that are known take effect meanwhile. Nothing is confirmed, since the
// newest record of a key on the unreadable page may be older than the log that is followed.
void keyed_follower::follow_without_page()
{
    this->next_offset = this->snapshot_end;
    this->window.restart(*this->next_offset);
    this->read_log();
}

void keyed_follower::finish_newest()
{
    std::vector<std::string> removed_keys;
    std::copy_if(this->keys.begin(), this->keys.end(), std::back_inserter(removed_keys),
                 [this](const auto& key) { return !this->listed.contains(key); });
    this->is_listing = false;
    this->listed.clear();
    for (const auto& key : removed_keys) {
        this->apply({log_offset{}, key, std::nullopt}, this->is_after_gap());
    }
    const bool is_following = this->next_offset.has_value();
    if (!is_following) {
        this->next_offset = this->snapshot_end;
        this->window.restart(*this->next_offset);
    }
    this->record_success();
    this->confirm(this->snapshot_requested_at);
    if (!is_following) {
        this->publish_positions(this->snapshot_requested_at, true);
        this->read_log();
    }
}

void keyed_follower::read_log()
{
    const auto requested_at = this->time.now();
    this->store.read(this->topic, *this->next_offset, this->next_wait(),
                     this->scope.guard([this, requested_at,
                                        started = this->listing](const result<store_page>& page) {
                         if (started == this->listing) {
                             this->handle_log_page(requested_at, page);
                         }
                     }));
}

// After the store was restored, the first read that may confirm begins as soon as it can.
duration keyed_follower::next_wait()
{
    if (std::exchange(this->skip_next_wait, false)) {
        return {};
    }
    if (!this->restored_at) {
        return this->settings.max_wait;
    }
    const auto confirms_at = *this->restored_at + record_rewrite_time;
    const auto now = this->time.now();
    if (now < confirms_at) {
        return std::min<duration>(this->settings.max_wait, confirms_at - now);
    }
    const bool is_confirmed = this->confirmed_as_of && *this->confirmed_as_of >= confirms_at;
    return is_confirmed ? this->settings.max_wait : duration{};
}

void keyed_follower::handle_log_page(monotonic_time requested_at, const result<store_page>& page)
{
    if (!page) {
        this->handle_failure(page.error());
        return;
    }
    if (page.value().era < *this->era) {
        this->handle_failure(earlier_era_error("read records"));
        return;
    }
    if (page.value().era > *this->era) {
        this->begin_era(page.value().era);
        return;
    }
    if (page.value().is_out_of_range || page.value().first_retained > *this->next_offset ||
        page.value().end < *this->next_offset) {
        this->handle_lost_position(page.value());
        return;
    }
    this->behind_since.reset();
    this->early_positions.clear();
    std::vector<store_record> changes;
    const auto previous_offset = *this->next_offset;
    for (const auto& record : page.value().records) {
        if (record.offset >= previous_offset && this->apply(record, this->is_after_gap())) {
            changes.push_back(record);
        }
    }
    this->next_offset = std::max(previous_offset, page.value().next);
    this->window.add(*this->next_offset, std::move(changes), this->is_after_gap());
    const bool reaches_end = *this->next_offset >= page.value().end;
    if (this->is_listing) {
        this->next_retry = this->settings.retry_pause;
    }
    else {
        this->record_success();
        if (reaches_end) {
            this->confirm(requested_at);
        }
        this->publish_positions(requested_at, reaches_end);
    }
    if (!reaches_end) {
        this->read_rest(*this->next_offset > previous_offset);
        return;
    }
    this->schedule(this->settings.pause, &keyed_follower::read_or_wait);
}

// Records that the store still has are read anew. If the log ends before this node's position, it
// was restored from an older copy.
void keyed_follower::handle_lost_position(const store_page& page)
{
    const bool has_expired = page.first_retained > *this->next_offset;
    this->log.write(has_expired ? log_level::info : log_level::warning, "topic_reread",
                    {{"topic", this->topic.name},
                     {"next", this->next_offset->value()},
                     {"first_retained", page.first_retained.value()},
                     {"end", page.end.value()},
                     {"expired", has_expired}});
    if (!has_expired) {
        this->handle_restored();
    }
    this->stop_reading();
    this->observer.on_records_missed();
    const auto since_restart = this->time.now() - this->restarted_at.value_or(monotonic_time{});
    if (this->restarted_at && since_restart < min_restart_interval) {
        this->schedule(min_restart_interval - since_restart, &keyed_follower::restart);
        return;
    }
    this->restart();
}

// The offsets of before were given out again, so a position in the log means nothing any more.
void keyed_follower::begin_era(store_era begun)
{
    this->log.write(log_level::warning, "store_restored",
                    {{"topic", this->topic.name},
                     {"era", begun.value()},
                     {"former_era", this->era->value()},
                     {"next", this->next_offset.value_or(log_offset{}).value()}});
    this->era = begun;
    this->handle_restored();
    this->observer.on_records_missed();
    this->restart();
}

// What other writers wrote and the store lost is written again soon, so a missing record may
// reappear, and the newest one may be yet to come.
void keyed_follower::handle_restored()
{
    this->counters.count("eelgrassbend_store_restorations_total", {{"topic", this->topic.name}}, 1);
    this->restored_at = this->time.now();
    this->recovered_at = this->restored_at;
}

// The records that follow have been written already, so neither the pause nor the relay delays the
// read. A page without progress is a fault of the store.
void keyed_follower::read_rest(bool has_advanced)
{
    if (has_advanced) {
        this->read_log();
        return;
    }
    this->schedule(this->next_pause(this->next_retry), &keyed_follower::read_log);
}

void keyed_follower::publish_positions(monotonic_time requested_at, bool reaches_end)
{
    if (!this->relay.is_reader()) {
        return;
    }
    auto positions =
        this->window.positions(this->topic.name, this->time.now() - requested_at, reaches_end);
    for (auto& position : positions) {
        position.era = *this->era;
    }
    this->relay.publish(positions);
}

// Uses the older of both times: a reader cut off from the store still publishes what it has, and a
// reader that stopped leaves a recent confirmation behind for a while.
duration keyed_follower::relay_time_left() const
{
    if (!this->relay_confirmed_at || !this->confirmed_as_of || this->is_behind() ||
        this->relay.is_reader()) {
        return {};
    }
    const auto since = std::min(*this->relay_confirmed_at, *this->confirmed_as_of);
    return std::max(duration{}, since + this->settings.relay_timeout - this->time.now());
}

void keyed_follower::read_or_wait()
{
    const auto wait = this->relay_time_left();
    if (wait == duration{}) {
        this->read_log();
        return;
    }
    this->skip_next_wait = true;
    this->schedule(std::min<duration>(wait, relay_check_interval), &keyed_follower::read_or_wait);
}

void keyed_follower::handle_position(const topic_position& position,
                                     std::optional<monotonic_time> as_of)
{
    if (!this->next_offset) {
        return; // the newest records are still being read
    }
    if (position.era != *this->era) {
        this->handle_other_era(position.era);
        return;
    }
    if (position.from > *this->next_offset) {
        this->behind_since = this->behind_since.value_or(this->time.now());
        this->early_positions.insert_or_assign(position.from, early_position{position, as_of});
        this->read_if_behind();
        return;
    }
    this->apply_position(position, as_of);
    while (!this->early_positions.empty() &&
           this->early_positions.begin()->first <= *this->next_offset) {
        const auto following =
            this->early_positions.extract(this->early_positions.begin()).mapped();
        this->apply_position(following.position, following.as_of);
    }
    if (this->early_positions.empty()) {
        this->behind_since.reset();
    }
    this->read_if_behind();
}

// Only an answer of the store proves a new era. A reader that has not noticed it yet is ignored.
void keyed_follower::handle_other_era(store_era relayed)
{
    if (relayed > *this->era) {
        this->skip_next_wait = true;
        this->read_now();
    }
}

void keyed_follower::read_if_behind()
{
    if (this->is_behind()) {
        this->read_now();
    }
}

// Without a timer a call is in flight, and its result is newer.
void keyed_follower::read_now()
{
    if (!this->timer) {
        return;
    }
    this->time.cancel(*std::exchange(this->timer, std::nullopt));
    this->read_log();
}

bool keyed_follower::is_behind() const
{
    return this->behind_since &&
           (this->time.now() - *this->behind_since >= this->settings.gap_timeout ||
            this->early_positions.size() > max_early_positions);
}

void keyed_follower::apply_position(const topic_position& position,
                                    std::optional<monotonic_time> as_of)
{
    for (const auto& record : position.changes) {
        if (record.offset >= *this->next_offset) {
            this->apply(record, position.after_gap);
        }
    }
    if (position.to > *this->next_offset) {
        this->next_offset = position.to;
        this->window.restart(*this->next_offset);
    }
    // Only the last position of a read confirms that nothing else was written.
    if (!as_of || !position.is_end || position.to < *this->next_offset || this->is_listing) {
        return;
    }
    this->relay_confirmed_at = this->time.now();
    if (!this->confirmed_as_of || *as_of > *this->confirmed_as_of) {
        this->confirm(*as_of);
    }
}

bool keyed_follower::apply(const store_record& record, bool after_gap)
{
    if (this->is_listing) {
        // A page that is read late may be older than what the log has shown.
        auto& newest = this->listed[record.key];
        if (record.offset < newest) {
            return false;
        }
        newest = record.offset;
    }
    if (record.value) {
        const bool is_new = this->keys.insert(record.key).second;
        return this->observer.on_record_written(record.key, *record.value) || is_new;
    }
    if (this->keys.erase(record.key) == 0) {
        return false;
    }
    this->observer.on_record_removed(record.key, after_gap);
    return true;
}

bool keyed_follower::is_after_gap() const
{
    if (this->has_failed) {
        return true;
    }
    return this->recovered_at && this->time.now() - *this->recovered_at < record_rewrite_time;
}

void keyed_follower::record_success()
{
    if (std::exchange(this->has_failed, false)) {
        this->recovered_at = this->time.now();
        this->log.write(log_level::info, "dependency_regained",
                        {{"dependency", "store"}, {"topic", this->topic.name}});
    }
    this->next_retry = this->settings.retry_pause;
}

// A read that reaches the end includes everything written before the call was sent, but not
// necessarily later records, nor those that a restored store lost and that are yet to be written
// again.
void keyed_follower::confirm(monotonic_time as_of)
{
    if (this->restored_at && as_of < *this->restored_at + record_rewrite_time) {
        return;
    }
    this->confirmed_as_of = std::max(as_of, this->confirmed_as_of.value_or(as_of));
    this->observer.on_caught_up(*this->confirmed_as_of);
}

void keyed_follower::record_failure(const error& reason)
{
    if (reason.code == errc::invalid_argument) {
        this->counters.count("eelgrassbend_unreadable_store_pages_total",
                             {{"topic", this->topic.name}}, 1);
        this->log.write(log_level::warning, "page_unreadable",
                        {{"topic", this->topic.name}, {"error", reason.to_string()}});
    }
    if (!std::exchange(this->has_failed, true)) {
        this->log.write(
            log_level::warning, "dependency_lost",
            {{"dependency", "store"}, {"topic", this->topic.name}, {"error", reason.to_string()}});
    }
}

duration keyed_follower::next_pause(duration& pause)
{
    const auto chosen = part_of(0.5 + 0.5 * random_unit(this->random), pause);
    pause = std::min(2 * pause, this->settings.max_retry_pause);
    return chosen;
}

void keyed_follower::handle_failure(const error& reason)
{
    this->record_failure(reason);
    const auto pause = this->next_pause(this->next_retry);
    if (!this->next_offset) {
        this->schedule(pause, &keyed_follower::retry_newest_page);
        return;
    }
    // While another node reads for this one, an occasional call detects the recovery of the store.
    const bool is_relayed = this->relay_time_left() > duration{};
    this->schedule(is_relayed ? this->settings.relay_timeout : pause, &keyed_follower::read_log);
}

void keyed_follower::schedule(duration pause, void (keyed_follower::*step)())
{
    this->timer = this->time.call_after(pause, [this, step] {
        this->timer.reset();
        (this->*step)();
    });
}

} // namespace eelgrassbend
