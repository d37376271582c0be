#ifndef EELGRASSBEND_LIB_STANDIN_LOG_SERVICE_H
#define EELGRASSBEND_LIB_STANDIN_LOG_SERVICE_H

#include "platform_faults.h"
#include "record_store.h"
#include "token_bucket.h"

#include "eelgrassbend/standin/http_server.h"
#include "eelgrassbend/standin/platform_standin.h"
#include "eelgrassbend/support/random_source.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace eelgrassbend::standin {

/// The HTTP side of the log.
class log_service {
public:
    using answer_pointer = std::shared_ptr<http_answer>;

    log_service(const platform_standin_settings& settings, const platform_faults& faults,
                event_loop& loop, random_source& random);

    void serve(const std::string& stream, const http_request& request,
               const answer_pointer& answer);

    std::uint64_t appends = 0;
    std::uint64_t records = 0;

private:
    /// A reader that waits for records.
    struct waiting_read {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t limit = 0;
        answer_pointer answer;
        timer_id timeout;
    };

    void append(const std::string& stream, std::vector<stored_record> given,
                const answer_pointer& answer);
    void read(const std::string& stream, const http_request& request, const answer_pointer& answer);
    void wait(waiting_read reader, duration span);
    void answer_read(const waiting_read& reader);
    void wake_readers(const std::string& stream);
    void after(duration delay, std::function<void()> action);

    const platform_faults& faults;
    event_loop& loop;
    random_source& random;
    record_store store;
    token_bucket rate;
    std::list<waiting_read> waiting;
};

} // namespace eelgrassbend::standin

#endif
