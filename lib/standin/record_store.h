#ifndef EELGRASSBEND_LIB_STANDIN_RECORD_STORE_H
#define EELGRASSBEND_LIB_STANDIN_RECORD_STORE_H

#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbend::standin {

struct stored_record {
    std::uint64_t offset = 0;
    std::string id;
    wall_time appended_at;
    std::string payload; ///< base64, never decoded here
};

struct stored_page {
    std::uint64_t first = 0;
    std::uint64_t end = 0;
    std::vector<stored_record> records;
};

/// The streams of the log, in memory.
class record_store {
public:
    record_store(duration retention_time, std::size_t retention_records);

    /// `records` need only id and payload; answers the offset of the first.
    std::uint64_t append(const std::string& stream, std::vector<stored_record> records,
                         wall_time now);
    stored_page read(const std::string& stream, std::uint64_t from, std::size_t limit,
                     wall_time now);

private:
    struct stream {
        std::uint64_t end = 0;
        std::deque<stored_record> records;
    };

    void expire(stream& entry, wall_time now) const;

    duration retention_time;
    std::size_t retention_records;
    std::map<std::string, stream> streams;
};

} // namespace eelgrassbend::standin

#endif
