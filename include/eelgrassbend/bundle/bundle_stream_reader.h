#ifndef EELGRASSBEND_BUNDLE_BUNDLE_STREAM_READER_H
#define EELGRASSBEND_BUNDLE_BUNDLE_STREAM_READER_H

#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <memory>
#include <vector>

namespace eelgrassbend {

/// Name of the stream that bundles are published on.
inline constexpr const char* bundle_stream = "bundles";

/// Brings a fold up to the end of the log's bundle stream. It finds a checkpoint to start from
/// when older records have expired.
class bundle_stream_reader {
public:
    using decision_observer = std::function<void(const log_record&, const bundle_decision&)>;
    using adoption_observer = std::function<void()>;
    using done_handler = std::function<void(result<void>)>;

    /// All references must outlive the reader.
    bundle_stream_reader(const clock_source& clock, log_client& log, stream_name stream,
                         bundle_fold& fold);

    /// Called for each record folded; `adopted` after the fold started from a checkpoint.
    void observe(decision_observer decided, adoption_observer adopted);

    /// Reads to the end. Errors: those of the log; `not_found` if nothing that is left of the
    /// stream says which version is in force; `stale` if a version of an unknown schema is in
    /// force; `mismatched` if the stream is not the one read before. One call at a time.
    void catch_up(done_handler done);

    /// Whether the fold stands on the start of the stream or on a checkpoint.
    [[nodiscard]] bool based() const { return this->has_base; }

    /// The fold was given a checkpoint from elsewhere.
    void set_based() { this->has_base = true; }

    /// When the last read that came to the end of the log was sent.
    [[nodiscard]] monotonic_time whole_at() const { return this->reached_end; }

    /// Records before it have expired.
    [[nodiscard]] log_offset first_retained() const { return this->first; }

private:
    void read_next(const done_handler& done);
    void take_page(const log_page& page, monotonic_time sent, const done_handler& done);
    void search(log_offset upper, std::uint64_t window, const done_handler& done);
    void collect(log_offset from, log_offset lower, log_offset upper, std::uint64_t window,
                 const std::shared_ptr<std::vector<bundle_checkpoint>>& found,
                 const done_handler& done);
    bool adopt_best(std::vector<bundle_checkpoint>& found);
    void read(log_offset from, std::size_t limit, const done_handler& done,
              std::function<void(const log_page&, monotonic_time)> take);

    const clock_source& clock;
    log_client& log;
    stream_name stream;
    bundle_fold& fold;
    decision_observer decided;
    adoption_observer adopted;
    bool has_base = false;
    monotonic_time reached_end;
    log_offset first;
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

} // namespace eelgrassbend

#endif
