#ifndef EELGRASSBEND_CLAIMS_CLAIM_TABLE_H
#define EELGRASSBEND_CLAIMS_CLAIM_TABLE_H

#include "eelgrassbend/claims/claim_record.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Limits that decide which claims count; they must be the same on every node.
struct claim_table_settings {
    duration max_key_age = std::chrono::minutes{15};
    /// How far any two clocks of nodes, callers and the log may differ.
    duration clock_tolerance = std::chrono::seconds{5};
    /// Records of one key that are told apart; claims beyond them do not count.
    std::size_t records_per_key = 256;
    /// Memory for the bodies of outcomes; the oldest bodies are dropped first.
    std::size_t outcome_bytes = std::size_t{8} * 1024 * 1024;
};

enum class claim_end : std::uint8_t { open, finished, abandoned };

/// The request that holds a key.
struct claim_holder {
    request_id request;
    node_id node;
    wall_time since; ///< by the log's clock
    claim_end end = claim_end::open;
    recorded_outcome outcome; ///< with `finished`
};

enum class claim_verdict : std::uint8_t {
    won,       ///< the request holds the key
    held,      ///< another request holds the key
    vacant,    ///< the claim lost, but nobody holds the key any more
    expired,   ///< the key's time was out of bounds when the claim was appended
    uncovered, ///< records of the key may be missing
    overused,  ///< too many records of the key
};

/// Folds the records of one claims stream, in the order of their offsets. Two tables that have
/// read the same record and cover its key agree on its verdict, wherever they started.
class claim_table {
public:
    explicit claim_table(const claim_table_settings& settings);

    /// Forgets everything. Without `complete`, records before the next one are missing.
    void restart(bool complete);
    void apply(const log_record& record);

    /// The verdict on the claim of `request`, whose record must have been applied.
    [[nodiscard]] claim_verdict verdict(const claim_key& key, const request_id& request) const;
    /// Null if nobody holds the key.
    [[nodiscard]] const claim_holder* holder(const claim_key& key) const;
    /// Whether this record was applied.
    [[nodiscard]] bool applied(const claim_record& record) const;

    /// Time of the newest record by the log's clock.
    [[nodiscard]] wall_time newest() const { return this->newest_record; }

    [[nodiscard]] std::size_t keys() const { return this->entries.size(); }

private:
    struct entry {
        wall_time key_time;
        std::optional<claim_holder> holder;
        std::vector<std::uint64_t> seen; ///< hashes of record ids
    };

    struct kept_body {
        claim_key key;
        std::size_t size = 0;
    };

    [[nodiscard]] bool covers(wall_time key_time) const;
    [[nodiscard]] bool in_window(wall_time key_time, wall_time appended) const;
    void expire();
    void apply_claim(entry& found, claim_record record, wall_time appended);
    void apply_release(entry& found, const claim_record& record);
    void apply_end(entry& found, claim_record record);
    void limit_bodies(const claim_key& key, std::size_t size);

    const claim_table_settings& settings;
    std::map<claim_key, entry> entries;
    std::deque<kept_body> bodies;
    std::size_t body_bytes = 0;
    bool complete = false;
    std::optional<wall_time> covered_from; ///< if not complete
    wall_time newest_record{};
};

} // namespace eelgrassbend

#endif
