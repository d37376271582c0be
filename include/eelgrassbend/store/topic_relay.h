#ifndef EELGRASSBEND_STORE_TOPIC_RELAY_H
#define EELGRASSBEND_STORE_TOPIC_RELAY_H

#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace eelgrassbend {

/// A range of offsets of a topic that a node has read, and the changes in it.
struct topic_position {
    std::string topic;
    log_offset from; ///< a receiver that has read less has a gap
    log_offset to;   ///< the next offset to be read
    duration age{};  ///< since the start of the read that confirmed `to`
    bool after_gap = false;
    bool is_end = false;               ///< last position of a read that reached the end of the log
    std::vector<store_record> changes; ///< in [from, to); records that changed nothing are left out
    store_era era;                     ///< of the offsets

    friend bool operator==(const topic_position&, const topic_position&) = default;
};

/// Largest sum of keys and values in one position, in bytes; with the other fields of a digest it
/// fits a datagram.
constexpr std::size_t max_position_bytes = 800;

/// Lets one node read the store for a group of nodes.
class topic_relay {
public:
    virtual ~topic_relay() = default;
    /// Whether this node reads for its group.
    [[nodiscard]] virtual bool is_reader() const = 0;
    virtual void publish(const std::vector<topic_position>& positions) = 0;
};

/// Relay for a node that reads for itself only.
class no_relay : public topic_relay {
public:
    [[nodiscard]] bool is_reader() const override { return true; }

    void publish(const std::vector<topic_position>& /*positions*/) override {}
};

/// The changes of the last few reads, repeated so that a lost datagram causes no gap.
class relay_window {
public:
    /// The next read begins at `next_offset`; earlier reads are discarded.
    void restart(log_offset next_offset);
    /// Adds the changes of a read up to `to`. A record too large for a datagram is left out with
    /// all records before it: other nodes have to read these themselves.
    void add(log_offset to, std::vector<store_record> changes, bool after_gap);
    /// Consecutive positions up to the last read. `reaches_end`: that read reached the end of the
    /// log.
    [[nodiscard]] std::vector<topic_position> positions(const std::string& topic, duration age,
                                                        bool reaches_end) const;

private:
    struct past_read {
        log_offset from;
        log_offset to;
        std::vector<store_record> changes;
        bool after_gap = false;
    };

    log_offset next_offset;
    std::deque<past_read> reads;
};

} // namespace eelgrassbend

#endif
