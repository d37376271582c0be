#ifndef EELGRASSBEND_CLAIMS_LOG_CLAIM_SERVICE_H
#define EELGRASSBEND_CLAIMS_LOG_CLAIM_SERVICE_H

#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/claims/claim_table.h"
#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

struct claim_settings {
    /// Streams over which keys are spread. The same on every node; a change needs all entry
    /// nodes stopped for `table.max_key_age`.
    std::uint32_t partitions = 16;
    claim_table_settings table;
    duration log_retention = std::chrono::hours{1}; ///< least that the platform promises
    duration claim_timeout = std::chrono::seconds{2};
    duration record_timeout = std::chrono::seconds{5}; ///< for `release` and `finish`
    duration owner_timeout = std::chrono::milliseconds{600};
    duration owner_penalty = std::chrono::seconds{5}; ///< an owner that failed is left out so long
    duration grant_limit = std::chrono::seconds{5};   ///< from `claim` to dispatch
    duration run_limit = std::chrono::minutes{5};     ///< from the claim to its outcome
    duration batch_window = std::chrono::milliseconds{3};
    /// Least time between two appends to one partition; all of them together append at most
    /// `partitions` times in it.
    duration append_interval = std::chrono::milliseconds{100};
    duration retry_delay = std::chrono::milliseconds{50}; ///< doubles up to 16 times itself
    duration stop_timeout = std::chrono::seconds{5};
    std::size_t batch_records = 256;
    std::size_t queued_records = 10'000; ///< beyond it claims are refused
    std::size_t page_records = 1'000;
    std::size_t outcome_body_limit = std::size_t{4} * 1024; ///< longer bodies are not kept
};

/// Errors: `invalid_argument` if the bounds of `settings` contradict each other.
result<void> check_claim_settings(const claim_settings& settings);

/// Work done so far.
struct claim_statistics {
    std::uint64_t appends = 0;          ///< calls to the log
    std::uint64_t appended_records = 0; ///< in these calls
    std::uint64_t reads = 0;            ///< calls to the log
    std::uint64_t read_records = 0;     ///< in these calls
    std::uint64_t owner_calls = 0;      ///< batches sent to a partition's owner
    std::uint64_t owner_failures = 0;   ///< of these, not answered whole
    std::uint64_t served_calls = 0;     ///< batches appended for others
    std::uint64_t log_failures = 0;     ///< appends and reads that failed
    std::uint64_t gaps = 0;             ///< records expired before they were read
    std::uint64_t claims = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t timed_out = 0; ///< claims refused because the log did not settle them in time
};

struct claim_dependencies {
    scheduler& timer;
    random_source& random;
    log_client& log;
    peer_rpc& peers;
    membership& members;
    event_log& events;
};

class claim_partition;
struct claim_context;
struct record_verdict;

/// Claims decided by the offsets of the platform's log. It must live as long as callbacks of
/// its dependencies are pending.
class log_claim_service : public claim_service, public service {
public:
    /// `settings` must have passed `check_claim_settings`.
    log_claim_service(const claim_settings& settings, const claim_dependencies& dependencies);
    ~log_claim_service() override;
    log_claim_service(const log_claim_service&) = delete;
    log_claim_service& operator=(const log_claim_service&) = delete;

    void start() override;
    /// Waits a bounded time until releases and outcomes are in the log.
    void stop(std::function<void()> done) override;

    void claim(const std::string& scope, const idempotency_key& key, const request_id& request,
               claim_handler handler) override;
    bool dispatch_allowed(const request_id& request) override;
    void not_dispatched(const request_id& request) override;
    void release(const request_id& request, done_handler handler) override;
    void finish(const request_id& request, recorded_outcome outcome, done_handler handler) override;
    void abandon(const request_id& request) override;

    [[nodiscard]] const claim_statistics& statistics() const;
    /// Keys in memory.
    [[nodiscard]] std::size_t keys() const;

private:
    enum class grant_state : std::uint8_t { claiming, granted, dispatched, ending };

    struct grant {
        claim_key key;
        monotonic_time begun; ///< when `claim` was called
        grant_state state = grant_state::claiming;
    };

    [[nodiscard]] result<claim_key> accept_key(const std::string& scope,
                                               const idempotency_key& key) const;
    [[nodiscard]] claim_partition& partition_of(const claim_key& key);
    [[nodiscard]] bool holder_runs(const claim_holder& holder) const;
    [[nodiscard]] claim_answer answer_held(const claim_holder& holder) const;
    void settle(const request_id& request, const record_verdict& verdict,
                const claim_handler& handler);
    void refuse(const claim_handler& handler, error reason);
    void give_up_claim(const request_id& request);
    void end(const request_id& request, claim_record_kind kind, recorded_outcome outcome,
             done_handler handler);
    void serve(const std::string& request, const peer_rpc::answer_handler& answer);
    void maintain();
    void keep_marked(std::uint32_t partition);
    void sweep_grants();
    void wait_until_settled(monotonic_time give_up, const std::function<void()>& done);

    std::unique_ptr<claim_context> context;
    std::vector<std::unique_ptr<claim_partition>> partitions;
    std::unordered_map<request_id, grant> grants;
    bool stopping = false;
};

} // namespace eelgrassbend

#endif
