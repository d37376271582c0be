#ifndef EELGRASSBEND_STREAMS_ORIGIN_INDEX_H
#define EELGRASSBEND_STREAMS_ORIGIN_INDEX_H

#include "eelgrassbend/streams/origin_batch.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace eelgrassbend {

/// The versions at which streams began, as far as this node knows, until they expire. Of more than
/// `max_entries`, the ones that expire first are forgotten.
class origin_index {
public:
    static constexpr std::size_t max_entries = 100'000;

    /// A stream of this node; takes precedence over what is read. `is_written`: a record of it is
    /// in the store, or may be.
    void put_own(stream_key key, const software_version& version, bool is_written,
                 monotonic_time expires_at);
    /// A stream of a batch in the store; one that was written later replaces an earlier one.
    void put_read(stream_key key, const software_version& version, std::int64_t written_ms,
                  monotonic_time expires_at);
    [[nodiscard]] std::optional<software_version> find(stream_key key, monotonic_time now);
    /// The same for a stream of this node. What other nodes wrote may have been replaced since.
    [[nodiscard]] std::optional<software_version> find_own(stream_key key, monotonic_time now);
    /// Whether the store may hold a record of a stream of this node.
    [[nodiscard]] bool is_own_written(stream_key key, monotonic_time now);

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        software_version version;
        std::int64_t written_ms = 0;
        bool is_own = false;
        bool is_written = false;
        monotonic_time expires_at;
    };

    void put(stream_key key, entry added);
    [[nodiscard]] const entry* find_entry(stream_key key, monotonic_time now);
    void expire(monotonic_time now);

    std::unordered_map<stream_key, entry> entries;
    std::deque<std::pair<monotonic_time, stream_key>> by_expiry; ///< as they were put
};

} // namespace eelgrassbend

#endif
