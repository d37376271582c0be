#include "eelgrassbend/streams/origin_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

origin_reader::origin_reader(record_store& store, scheduler& time, event_log& log,
                             origin_index& index, const stream_baselines& baselines,
                             store_topic topic)
    : store(store),
      time(time),
      log(log),
      index(index),
      baselines(baselines),
      topic(std::move(topic))
{
}

// A read in flight may have passed what was written just before the call.
void origin_reader::refresh(handler done)
{
    this->next.push_back(std::move(done));
    if (!this->is_reading) {
        this->begin();
    }
}

void origin_reader::begin()
{
    this->current = std::exchange(this->next, {});
    this->is_reading = true;
    if (this->position) {
        this->read();
        return;
    }
    this->listing_end.reset();
    this->list({});
}

void origin_reader::list(const std::string& after)
{
    this->store.read_newest(
        this->topic, after,
        this->scope.guard([this](const result<newest_page>& page) { this->handle_newest(page); }));
}

void origin_reader::handle_newest(const result<newest_page>& page)
{
    if (!page) {
        this->finish(page.error());
        return;
    }
    const bool is_first = !this->listing_end;
    if (this->notice_era(page.value().era) && !is_first) {
        this->listing_end.reset();
        this->list({});
        return;
    }
    this->listing_end = this->listing_end.value_or(page.value().end);
    const auto& records = page.value().records;
    std::for_each(records.begin(), records.end(),
                  [this](const store_record& record) { this->apply(record); });
    if (page.value().has_more && !records.empty()) {
        this->list(records.back().key);
        return;
    }
    this->position = this->listing_end;
    this->finish(boost::outcome_v2::success());
}

void origin_reader::read()
{
    this->store.read(
        this->topic, *this->position, duration::zero(),
        this->scope.guard([this](const result<store_page>& page) { this->handle_page(page); }));
}

void origin_reader::handle_page(const result<store_page>& page)
{
    if (!page) {
        this->finish(page.error());
        return;
    }
    const auto& found = page.value();
    const bool is_other_era = this->notice_era(found.era);
    const bool is_shorter = !is_other_era && found.first_retained <= *this->position &&
                            (found.is_out_of_range || found.end < *this->position);
    if (is_shorter) {
        this->restored = this->time.now(); // of a store that does not state its era
    }
    if (is_other_era || is_shorter || found.is_out_of_range ||
        found.first_retained > *this->position) {
        this->position.reset();
        this->listing_end.reset();
        this->list({});
        return;
    }
    for (const auto& record : found.records) {
        this->apply(record);
    }
    const bool has_advanced = found.next > *this->position;
    this->position = std::max(*this->position, found.next);
    if (*this->position >= found.end) {
        this->finish(boost::outcome_v2::success());
        return;
    }
    if (!has_advanced) {
        this->finish(make_error(errc::unavailable, "read " + this->topic.name, "store",
                                "page without progress"));
        return;
    }
    this->read();
}

bool origin_reader::notice_era(store_era found)
{
    const auto former = std::exchange(this->era, found);
    const bool is_other = former && *former != found;
    if (is_other) {
        this->log.write(
            log_level::warning, "store_restored",
            {{"topic", this->topic.name}, {"era", found.value()}, {"former_era", former->value()}});
        this->restored = this->time.now();
    }
    return is_other;
}

void origin_reader::apply(const store_record& record)
{
    if (!record.value || record.value->empty()) {
        return; // a deleted slot
    }
    const auto batch = decode_batch(*record.value);
    if (!batch) {
        this->log.write(log_level::warning, "stream_origin_invalid",
                        {{"key", record.key}, {"error", batch.error().to_string()}});
        return;
    }
    const auto now = this->time.now();
    const auto age_ms = std::max<std::int64_t>(0, wall_milliseconds(this->time.wall_now()) -
                                                      batch.value().written_ms);
    const auto left = this->baselines.stream_lifetime() - std::chrono::milliseconds{age_ms};
    if (left <= duration::zero()) {
        return;
    }
    for (const auto& [key, version] : batch.value().origins) {
        this->index.put_read(key, version, batch.value().written_ms, now + left);
    }
}

void origin_reader::finish(const result<void>& outcome)
{
    const auto ended = std::exchange(this->current, {});
    this->is_reading = false;
    if (!this->next.empty()) {
        this->begin();
    }
    if (!outcome) {
        this->log.write(log_level::warning, "stream_origin_read_failed",
                        {{"error", outcome.error().to_string()}});
    }
    for (const auto& done : ended) {
        done(outcome);
    }
}

} // namespace eelgrassbend
