#ifndef EELGRASSBEND_BUNDLE_PUBLISHER_H
#define EELGRASSBEND_BUNDLE_PUBLISHER_H

#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/bundle/bundle_stream_reader.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

enum class publication_status {
    accepted,     ///< in force; a later version may have replaced it since
    rejected,     ///< decided against, for good
    not_appended, ///< nothing was appended; publishing again is safe
    unknown,      ///< perhaps appended and not decided yet; publishing again finds it
};

std::string_view to_string(publication_status status);

struct publication_result {
    publication_status status = publication_status::unknown;
    std::string reason; ///< and what to do; empty if accepted
    record_id record;
    std::optional<log_offset> offset;       ///< of the record, once it was read back
    std::optional<bundle_version> in_force; ///< as last read; none if the stream was not read
};

struct publisher_options {
    duration patience{std::chrono::seconds{30}}; ///< for everything together
    duration retry_delay{std::chrono::milliseconds{500}};
};

/// Publishes one signed bundle and says accepted only after it has read its own record back as in
/// force. The same bundle can be published again after a crash or a lost answer: its record id
/// stays the same, so that it counts once.
class publisher {
public:
    using done_handler = std::function<void(const publication_result&)>;

    /// All references must outlive the publisher. `trusted` signs the first bundle.
    publisher(publisher_options options, operator_set trusted, scheduler& timers, log_client& log);

    /// One publication at a time.
    void publish(const signed_bundle& sealed, done_handler done);

private:
    void synchronise();
    void judge();
    /// Why appending is pointless; empty if it is not.
    [[nodiscard]] std::string obstacle() const;
    void append();
    void take_append(const result<std::vector<log_offset>>& outcome);
    void retry(const std::string& problem);
    void finish(publication_status status, std::string reason);

    publisher_options options;
    scheduler& timers;
    log_client& log;
    bundle_fold fold;
    bundle_stream_reader reader;
    signed_bundle sealed;
    record_id id;
    bundle_header header;
    done_handler done;
    monotonic_time give_up_at;
    std::optional<bundle_decision> decision; ///< about this record
    bundle_version started_from; ///< in force in the checkpoint that the reading began with
    bool maybe_appended = false;
    bool surely_appended = false;
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

} // namespace eelgrassbend

#endif
