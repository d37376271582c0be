#ifndef EELGRASSBEND_STORE_RECORD_STORE_H
#define EELGRASSBEND_STORE_RECORD_STORE_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Rises each time that the store is restored from an older copy, which loses its newest records:
/// offsets of different eras do not compare. Zero if the store does not state it.
using store_era = strong_number<struct store_era_tag, std::uint64_t>;

/// An answer of the store that belongs to an earlier era than one received before.
inline error earlier_era_error(std::string step)
{
    return make_error(errc::stale, std::move(step), "store", "answer is of an earlier era");
}

/// A log of the store with one partition. A keyed topic retains the newest record of each key.
struct store_topic {
    std::string name;
    bool is_keyed = false;
};

struct store_record {
    log_offset offset;
    std::string key;                  ///< empty in topics without keys
    std::optional<std::string> value; ///< nothing: the key was deleted

    friend bool operator==(const store_record&, const store_record&) = default;
};

/// Consecutive records from an offset, possibly not all. Empty if that offset lies before
/// `first_retained`, so that the records there have expired, or beyond `end`: a log that was
/// restored from an older copy ends before offsets that it had given out.
struct store_page {
    bool is_out_of_range = false; ///< the log does not have the offset that was requested
    log_offset first_retained;
    log_offset end;  ///< of the log
    log_offset next; ///< where the next read continues; before `end` if the page is partial
    std::vector<store_record> records;
    store_era era;
};

/// A page of the newest records of a keyed topic, in order of their keys.
struct newest_page {
    std::vector<store_record> records;
    bool has_more = false;
    log_offset end;
    std::size_t skipped_records = 0; ///< without a key or an offset
    store_era era;
};

/// The outcome of an append that the store answered.
struct append_answer {
    bool appended = false; ///< false: the log did not end where the caller expected
    log_offset offset;     ///< of the first record, if appended
    log_offset end;
    store_era era;
};

/// The platform's durable store: linearizable, rate-limited, at times unavailable. Errors:
/// `unavailable` if nothing was done, `rate_limited` if a limit was exceeded, `timed_out` or
/// `outcome_unknown` if the call may have taken effect or may still take effect later.
class record_store {
public:
    using append_handler = std::function<void(result<append_answer>)>;
    using read_handler = std::function<void(result<store_page>)>;
    using newest_handler = std::function<void(result<newest_page>)>;

    virtual ~record_store() = default;
    /// Appends all records or none; with `at`, only if the log ends there.
    virtual void append(const store_topic& topic, std::vector<store_record> records,
                        std::optional<log_offset> at, append_handler handler) = 0;
    /// Returns as soon as there is a record at `from`, or after `wait` without any.
    virtual void read(const store_topic& topic, log_offset from, duration wait,
                      read_handler handler) = 0;
    /// Reads a page of the keys after `after`; empty for the first page.
    virtual void read_newest(const store_topic& topic, const std::string& after,
                             newest_handler handler) = 0;
};

} // namespace eelgrassbend

#endif
