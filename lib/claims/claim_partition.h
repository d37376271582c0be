#ifndef EELGRASSBEND_LIB_CLAIMS_CLAIM_PARTITION_H
#define EELGRASSBEND_LIB_CLAIMS_CLAIM_PARTITION_H

#include "eelgrassbend/claims/log_claim_service.h"

#include "claim_batch.h"
#include "partition_owners.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace eelgrassbend {

/// What all partitions of one node share.
struct claim_context {
    claim_context(const claim_settings& settings, const claim_dependencies& dependencies)
        : settings(settings), on(dependencies), owners(on.members, on.timer, settings.partitions)
    {
    }

    claim_settings settings;
    claim_dependencies on;
    claim_statistics statistics;
    partition_owners owners;
    std::unordered_map<node_id, monotonic_time> penalties; ///< owners left out until then
};

/// Appends and reads one claims stream, or has its owner do it. Batches what is submitted:
/// one append or call at a time, and what comes meanwhile goes with the next one.
class claim_partition {
public:
    using done_handler = std::function<void(const record_verdict&)>;

    claim_partition(claim_context& context, std::uint32_t number);

    /// Tries to append `record` until it is settled or `patience` has passed. The handler runs
    /// once. `served` records came from another node and are never passed on.
    void submit(claim_record record, duration patience, bool served, done_handler done);

    /// The key's outcome, if this node knows it already.
    [[nodiscard]] const claim_holder* finished_holder(const claim_key& key) const;
    [[nodiscard]] bool is_owner();

    [[nodiscard]] std::size_t unsettled() const { return this->queue.size() + this->flight.size(); }

    [[nodiscard]] const claim_table& records() const { return this->table; }

private:
    struct pending_record {
        claim_record record;
        bool served = false;
        bool maybe_appended = false;
        done_handler done; ///< empty once it was called
        timer_id give_up;
    };

    using pending_pointer = std::shared_ptr<pending_record>;
    using pending_batch = std::vector<pending_pointer>;

    void give_up(const pending_pointer& pending);
    void settle(const pending_pointer& pending, const record_verdict& verdict);
    void schedule();
    void send();
    [[nodiscard]] pending_batch take_batch();
    [[nodiscard]] const member* owner_to_ask();

    void ask(const member& owner);
    void on_owner_answer(const node_id& owner, const result<std::string>& answer);
    [[nodiscard]] bool take_verdicts(const result<std::string>& answer);

    void append();
    void on_appended(const result<std::vector<log_offset>>& offsets);
    /// Reads until `target` was read; without one, until the end of the stream.
    void read(std::optional<log_offset> target);
    void on_page(std::optional<log_offset> target, const result<log_page>& page);
    void apply(const log_page& page);
    void settle_flight(bool whole);
    [[nodiscard]] record_verdict verdict_of(const claim_record& record) const;

    void requeue();
    void back_off();
    [[nodiscard]] bool anyone_waits() const;
    [[nodiscard]] duration take_retry_delay();

    claim_context& context;
    std::uint32_t number;
    stream_name stream;
    claim_table table;
    log_offset cursor{0};
    bool ever_read = false;
    std::deque<pending_pointer> queue;
    pending_batch flight; ///< under way; empty if none
    bool scheduled = false;
    monotonic_time not_before{};
    int failures = 0; ///< in a row
};

} // namespace eelgrassbend

#endif
