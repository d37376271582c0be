#ifndef EELGRASSBEND_STREAMS_STORE_STREAM_ORIGINS_H
#define EELGRASSBEND_STREAMS_STORE_STREAM_ORIGINS_H

#include "eelgrassbend/streams/origin_index.h"
#include "eelgrassbend/streams/origin_reader.h"
#include "eelgrassbend/streams/origin_writer.h"
#include "eelgrassbend/streams/stream_baselines.h"
#include "eelgrassbend/streams/stream_origins.h"

#include <memory>

namespace eelgrassbend {

/// Keeps the origins of streams in the store. A stream that begins at the baseline of its service
/// needs no record, so nothing is written while all endpoints have one version.
class store_stream_origins : public stream_origins {
public:
    store_stream_origins(record_store& store, scheduler& time, event_log& log, metrics& counters,
                         const stream_baselines& baselines, origin_writer::node_count count_nodes,
                         const origin_writer_settings& settings);

    void record(const service_id& service, const request_id& stream,
                const software_version& version, recorded_handler done) override;
    void find(const service_id& service, const request_id& stream, found_handler done) override;
    [[nodiscard]] std::optional<software_version>
    preferred_version(const service_id& service) const override;

private:
    struct pending_find;

    void answer(pending_find& find, const result<software_version>& found, const char* source);
    void resolve(pending_find& find, const result<void>& outcome);
    [[nodiscard]] bool may_lack_records() const;

    scheduler& time;
    event_log& log;
    metrics& counters;
    const stream_baselines& baselines;
    origin_index index;
    origin_writer writer;
    origin_reader reader;
    callback_scope scope;
};

} // namespace eelgrassbend

#endif
