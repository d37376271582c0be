#ifndef EELGRASSBEND_PLATFORM_LOG_CLIENT_H
#define EELGRASSBEND_PLATFORM_LOG_CLIENT_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend {

struct new_log_record {
    record_id id;
    std::string payload; ///< any bytes
};

struct log_record {
    log_offset offset;
    record_id id;
    wall_time appended_at; ///< by the platform's clock
    std::string payload;
};

struct log_page {
    log_offset first_retained;       ///< records before this offset have expired
    log_offset end;                  ///< the offset that the next record will get
    std::vector<log_record> records; ///< consecutive, from the offset asked for or first_retained
};

/// Detail of an `unavailable` error by which the log itself said that it is in an outage.
inline constexpr const char* log_outage_detail = "the log is in an outage";

/// Whether the log answered that it is in an outage, so that nobody can append; false if it
/// could not be reached.
inline bool is_log_outage(const error& failure)
{
    return failure.code == errc::unavailable && failure.detail == log_outage_detail;
}

/// The platform's append-only log. Errors: `unavailable` if nothing was appended,
/// `outcome_unknown` or `timed_out` if the append may have taken effect, `rate_limited`.
class log_client {
public:
    using append_handler = std::function<void(result<std::vector<log_offset>>)>;
    using read_handler = std::function<void(result<log_page>)>;

    virtual ~log_client() = default;

    /// Appends all records in one call, in order; the handler gets their offsets.
    virtual void append(const stream_name& stream, std::vector<new_log_record> records,
                        append_handler handler) = 0;
    /// Reads up to `limit` records from offset `from`.
    virtual void read(const stream_name& stream, log_offset from, std::size_t limit,
                      read_handler handler) = 0;
};

} // namespace eelgrassbend

#endif
