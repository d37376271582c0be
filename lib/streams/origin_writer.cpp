#include "eelgrassbend/streams/origin_writer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace eelgrassbend {

/// Interval between batches; the begin of a stream takes longer than this.
static constexpr std::chrono::milliseconds batch_interval{40};
static constexpr std::chrono::milliseconds retry_pause{100};
static constexpr double append_burst = 3.0;
static constexpr std::size_t max_batch_origins = 2'000;
/// Origins that wait for the store; further streams begin without a record.
static constexpr std::size_t max_pending_origins = 20'000;
/// Added to the time after which a slot is free: the store may execute a write late, and the wall
/// clocks of two nodes may differ.
static constexpr std::chrono::seconds slot_margin{10};
/// Age after which every slot of a former process is free.
static constexpr std::chrono::seconds former_slot_lifetime{130};

origin_writer::origin_writer(record_store& store, scheduler& time, event_log& log,
                             metrics& counters, node_count count_nodes,
                             origin_writer_settings settings)
    : store(store),
      time(time),
      log(log),
      counters(counters),
      count_nodes(std::move(count_nodes)),
      settings(std::move(settings))
{
}

origin_writer::~origin_writer()
{
    if (this->timer) {
        this->time.cancel(*this->timer);
    }
}

std::string origin_writer::key_prefix() const
{
    return this->settings.node.value() + "/";
}

void origin_writer::find_slots(const std::string& after)
{
    this->is_finding_slots = true;
    this->store.read_newest(
        this->settings.topic, after,
        this->scope.guard([this](const result<newest_page>& page) { this->handle_slots(page); }));
}

// Keys are listed in order, and those of this node follow one another.
void origin_writer::handle_slots(const result<newest_page>& page)
{
    if (!page) {
        this->log.write(log_level::warning, "stream_origin_read_failed",
                        {{"error", page.error().to_string()}});
        this->slots.clear();
        this->is_finding_slots = false;
        this->next_append = this->time.now() + retry_pause;
        return;
    }
    const auto& records = page.value().records;
    const auto prefix = this->key_prefix();
    const auto end = std::find_if(records.begin(), records.end(), [&](const auto& record) {
        return !record.key.starts_with(prefix);
    });
    for (auto record = records.begin(); record != end; ++record) {
        this->adopt_slot(*record);
    }
    if (page.value().has_more && end == records.end() && !records.empty()) {
        this->find_slots(records.back().key);
        return;
    }
    this->is_finding_slots = false;
    this->has_slots = true;
    // A write of a former process to a slot that is not listed yet may still be executed.
    this->slots.push_back({this->time.now() + slot_margin});
}

void origin_writer::adopt_slot(const store_record& record)
{
    const auto number = std::string_view{record.key}.substr(this->key_prefix().size());
    std::size_t index = 0;
    const auto [end, failure] =
        std::from_chars(number.data(), number.data() + number.size(), index);
    constexpr std::size_t max_slots = 100'000;
    if (failure != std::errc{} || end != number.data() + number.size() || index >= max_slots) {
        this->log.write(log_level::warning, "stream_origin_invalid", {{"key", record.key}});
        return;
    }
    if (index >= this->slots.size()) {
        this->slots.resize(index + 1);
    }
    const auto batch = decode_batch(record.value.value_or(std::string{}));
    const auto now_ms = wall_milliseconds(this->time.wall_now());
    const auto age = std::chrono::milliseconds{
        batch ? std::max<std::int64_t>(0, now_ms - batch.value().written_ms) : 0};
    this->slots[index].free_at =
        this->time.now() + std::max<duration>(former_slot_lifetime - age, slot_margin);
}

void origin_writer::write(stream_key key, const software_version& version, duration lifetime,
                          written_handler done)
{
    if (this->pending.size() >= max_pending_origins) {
        this->log.write(log_level::warning, "stream_origin_unrecorded",
                        {{"reason", "too many origins wait for the store"}});
        done();
        return;
    }
    this->pending.push_back({key, version, lifetime, this->time.now(), std::move(done)});
    this->arm();
    if (this->is_store_late) {
        this->counters.count("eelgrassbend_stream_origins_unrecorded_total", {}, 1);
        std::exchange(this->pending.back().done, {})();
    }
}

void origin_writer::arm()
{
    if (!this->timer && !(this->pending.empty() && this->in_flight.empty())) {
        this->timer = this->time.call_after(batch_interval, [this] {
            this->timer.reset();
            this->tick();
        });
    }
}

void origin_writer::tick()
{
    if (!this->has_slots && !this->is_finding_slots && this->time.now() >= this->next_append) {
        this->find_slots(this->key_prefix());
    }
    if (!this->pending.empty() && this->may_append()) {
        this->append_batch();
    }
    this->arm();
    this->end_waits();
}

bool origin_writer::may_append()
{
    const auto now = this->time.now();
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, this->count_nodes()));
    this->appends.configure(
        now, this->settings.write_share * this->settings.store_writes_per_second / nodes,
        append_burst);
    return this->has_slots && this->in_flight.empty() && now >= this->next_append &&
           this->appends.wait_for(now, 1.0) <= duration::zero();
}

std::size_t origin_writer::choose_slot()
{
    const auto now = this->time.now();
    const auto found = std::find_if(this->slots.begin(), this->slots.end(),
                                    [&](const slot& each) { return each.free_at <= now; });
    const auto index = static_cast<std::size_t>(found - this->slots.begin());
    if (found == this->slots.end()) {
        this->slots.emplace_back();
    }
    return index;
}

// A slot counts as used whatever the outcome: the write may take effect late.
void origin_writer::append_batch()
{
    const auto now = this->time.now();
    const auto count =
        static_cast<std::ptrdiff_t>(std::min(this->pending.size(), max_batch_origins));
    this->in_flight.assign(std::make_move_iterator(this->pending.begin()),
                           std::make_move_iterator(this->pending.begin() + count));
    this->pending.erase(this->pending.begin(), this->pending.begin() + count);
    origin_batch batch;
    batch.written_ms = wall_milliseconds(this->time.wall_now());
    duration lifetime{};
    for (const auto& origin : this->in_flight) {
        batch.origins.insert_or_assign(origin.key, origin.version);
        lifetime = std::max(lifetime, origin.lifetime);
    }
    const auto index = this->choose_slot();
    this->slots[index].free_at = now + lifetime + slot_margin;
    this->appends.take(now, 1.0);
    this->store.append(
        this->settings.topic,
        {{log_offset{}, this->key_prefix() + std::to_string(index), encode_batch(batch)}},
        std::nullopt, this->scope.guard([this](const result<append_answer>& answer) {
            this->handle_appended(answer);
        }));
}

void origin_writer::handle_appended(const result<append_answer>& answer)
{
    auto ended = std::exchange(this->in_flight, {});
    if (!answer) {
        this->log.write(log_level::warning, "stream_origin_write_failed",
                        {{"origins", ended.size()}, {"error", answer.error().to_string()}});
        this->next_append = this->time.now() + retry_pause;
        this->pending.insert(this->pending.begin(), std::make_move_iterator(ended.begin()),
                             std::make_move_iterator(ended.end()));
        this->arm();
        this->end_waits();
        return;
    }
    this->is_store_late = false;
    this->counters.count("eelgrassbend_stream_origin_batches_total", {}, 1);
    this->counters.count("eelgrassbend_stream_origins_written_total", {},
                         static_cast<double>(ended.size()));
    for (auto& origin : ended) {
        if (origin.done) {
            origin.done();
        }
    }
}

// The stream goes on although its origin is not written yet; it is still written later, unless the
// stream has ended by then.
void origin_writer::end_waits()
{
    const auto now = this->time.now();
    std::vector<written_handler> ended;
    const auto end_wait = [&](pending_origin& origin) {
        if (origin.done && now - origin.requested_at >= this->settings.max_wait) {
            ended.push_back(std::exchange(origin.done, {}));
        }
    };
    std::for_each(this->pending.begin(), this->pending.end(), end_wait);
    std::for_each(this->in_flight.begin(), this->in_flight.end(), end_wait);
    std::erase_if(this->pending, [&](const pending_origin& origin) {
        return now - origin.requested_at >= origin.lifetime;
    });
    if (!ended.empty()) {
        const bool is_waiting_for_store =
            !this->in_flight.empty() || !this->has_slots || now < this->next_append;
        this->is_store_late = this->is_store_late || is_waiting_for_store;
        this->log.write(log_level::warning, "stream_origin_unrecorded",
                        {{"origins", ended.size()},
                         {"reason", is_waiting_for_store ? "the store has not answered"
                                                         : "over this node's share of writes"}});
        this->counters.count("eelgrassbend_stream_origins_unrecorded_total", {},
                             static_cast<double>(ended.size()));
    }
    for (auto& done : ended) {
        done();
    }
}

} // namespace eelgrassbend
