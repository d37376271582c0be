#include "eelgrassbend/streams/store_stream_origins.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

/// Longest time that the resumption of a stream waits for the store.
static constexpr std::chrono::milliseconds max_find_time{400};
/// Interval between checks whether a node that has just started has read the baselines.
static constexpr std::chrono::milliseconds baseline_check_interval{20};

/// A search for the origin of a stream until it is answered.
struct store_stream_origins::pending_find : std::enable_shared_from_this<pending_find> {
    pending_find(service_id service, request_id stream, found_handler done)
        : service(std::move(service)), stream(std::move(stream)), done(std::move(done))
    {
    }

    service_id service;
    request_id stream;
    found_handler done; ///< empty once called
};

store_stream_origins::store_stream_origins(record_store& store, scheduler& time, event_log& log,
                                           metrics& counters, const stream_baselines& baselines,
                                           origin_writer::node_count count_nodes,
                                           const origin_writer_settings& settings)
    : time(time),
      log(log),
      counters(counters),
      baselines(baselines),
      writer(store, time, log, counters, std::move(count_nodes), settings),
      reader(store, time, log, this->index, baselines, settings.topic)
{
}

// A stream that was recorded before needs a record at the baseline too.
void store_stream_origins::record(const service_id& service, const request_id& stream,
                                  const software_version& version, recorded_handler done)
{
    const auto now = this->time.now();
    const auto key = make_stream_key(service, stream);
    const auto lifetime = this->baselines.stream_lifetime();
    const bool needs_record =
        this->index.is_own_written(key, now) || this->baselines.settled(service) != version;
    this->index.put_own(key, version, needs_record, now + lifetime);
    if (!needs_record) {
        done();
        return;
    }
    this->writer.write(key, version, lifetime, std::move(done));
}

void store_stream_origins::find(const service_id& service, const request_id& stream,
                                found_handler done)
{
    const auto pending = std::make_shared<pending_find>(service, stream, std::move(done));
    const auto known = this->index.find_own(make_stream_key(service, stream), this->time.now());
    if (known) {
        this->answer(*pending, *known, "known");
        return;
    }
    this->reader.refresh(this->scope.guard(
        [this, pending](const result<void>& outcome) { this->resolve(*pending, outcome); }));
    this->time.call_after(max_find_time, this->scope.guard([this, pending] {
        this->resolve(*pending, make_error(errc::timed_out, "read stream origins", "store"));
    }));
}

std::optional<software_version>
store_stream_origins::preferred_version(const service_id& service) const
{
    return this->writer.is_late() ? this->baselines.settled(service) : std::nullopt;
}

// Records of the time before a restoration may be lost for good.
bool store_stream_origins::may_lack_records() const
{
    const auto restored = this->reader.restored_at();
    return restored && this->time.now() - *restored < this->baselines.stream_lifetime();
}

void store_stream_origins::resolve(pending_find& find, const result<void>& outcome)
{
    if (!find.done) {
        return;
    }
    const auto recorded =
        this->index.find(make_stream_key(find.service, find.stream), this->time.now());
    if (recorded) {
        this->answer(find, *recorded, "record");
        return;
    }
    const auto baseline = this->baselines.find(find.service);
    if (outcome && baseline && !this->may_lack_records()) {
        this->answer(find, *baseline, "baseline");
        return;
    }
    if (outcome && !this->baselines.has_read_records()) {
        const auto again = [this, pending = find.shared_from_this()] {
            this->resolve(*pending, boost::outcome_v2::success());
        };
        this->time.call_after(baseline_check_interval, this->scope.guard(again));
        return;
    }
    if (const auto single = this->baselines.single_version(find.service)) {
        this->answer(find, *single, "single_version");
        return;
    }
    this->answer(find,
                 outcome ? make_error(errc::unavailable, "find stream origin", "store",
                                      "no record and no baseline")
                         : outcome.error(),
                 "unknown");
}

void store_stream_origins::answer(pending_find& find, const result<software_version>& found,
                                  const char* source)
{
    this->counters.count("eelgrassbend_stream_origins_total",
                         {{"service", find.service.value()}, {"source", source}}, 1);
    if (!found) {
        this->log.write(log_level::warning, "stream_origin_unknown",
                        {{"stream", find.stream.value()},
                         {"service", find.service.value()},
                         {"error", found.error().to_string()}});
    }
    std::exchange(find.done, {})(found);
}

} // namespace eelgrassbend
