#ifndef EELGRASSBEND_LEDGER_REPLICATED_LEDGER_H
#define EELGRASSBEND_LEDGER_REPLICATED_LEDGER_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace eelgrassbend {

struct ledger_settings {
    /// Nodes in other availability zones that keep a line; 0 only for a single node.
    std::size_t replicas = 2;
    std::size_t least_replicas = 1; ///< enough once `intend_timeout` has passed
    duration intend_timeout = std::chrono::seconds{1};
    duration call_timeout = std::chrono::milliseconds{300};
    duration peer_penalty = std::chrono::seconds{2}; ///< a peer that failed is left out so long
    duration intend_window = std::chrono::milliseconds{5};   ///< intents that share a call
    duration confirm_window = std::chrono::milliseconds{50}; ///< confirmations that share a call
    duration drop_window = std::chrono::seconds{1};          ///< drops that share a call
    double appends_per_second = 60.0; ///< to the log, by all entry nodes together
    duration append_window = std::chrono::milliseconds{250};
    duration retry_delay = std::chrono::milliseconds{250}; ///< doubles up to 16 times itself
    std::size_t batch_lines = 500;
    /// Bounds of the lines of this node. With 3 requests a second and node they last for 1.8 h
    /// without the log.
    std::size_t open_lines = 20'000;
    std::size_t open_bytes = std::size_t{12} * 1024 * 1024;
    double accept_share = 0.9;       ///< of these bounds; the rest is for requests under way
    std::size_t held_lines = 40'000; ///< bound of the lines kept for others
    std::size_t held_bytes = std::size_t{24} * 1024 * 1024;
    duration missing_grace = std::chrono::seconds{10}; ///< until an unknown origin counts as dead
    /// A confirmed line that was not dropped is appended by its replicas after this time.
    duration held_limit = std::chrono::minutes{10};
    duration flush_timeout = std::chrono::seconds{5};
};

/// Work done so far.
struct ledger_statistics {
    std::uint64_t appends = 0;
    std::uint64_t appended_lines = 0;
    std::uint64_t append_failures = 0;
    std::uint64_t peer_calls = 0;
    std::uint64_t peer_bytes = 0;
    std::uint64_t peer_failures = 0;
    std::uint64_t intents = 0;
    std::uint64_t intents_failed = 0;
    std::uint64_t confirmed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t adopted = 0; ///< lines of dead nodes
};

struct ledger_dependencies {
    scheduler& timer;
    random_source& random;
    log_client& log;
    peer_rpc& peers;
    membership& members;
    event_log& events;
};

class ledger_replicas;

/// A ledger whose lines are kept by peers in other availability zones until they are in the
/// platform's log. It must live as long as callbacks of its dependencies are pending.
class replicated_ledger : public ledger, public service {
public:
    replicated_ledger(const ledger_settings& settings, const ledger_dependencies& dependencies);
    ~replicated_ledger() override;
    replicated_ledger(const replicated_ledger&) = delete;
    replicated_ledger& operator=(const replicated_ledger&) = delete;

    void start() override;
    /// Flushes; bounded by the flush timeout.
    void stop(std::function<void()> done) override;

    [[nodiscard]] bool accepts_work() const override;
    void intend(const ledger_line& line, done_handler handler) override;
    void confirm(const request_id& request) override;
    void cancel(const request_id& request) override;
    /// Done once every confirmed line is in the log, or, while the log fails, held by peers.
    void flush(done_handler handler) override;

    [[nodiscard]] std::size_t waiting() const override { return this->queue.size(); }

    [[nodiscard]] const ledger_statistics& statistics() const { return this->counts; }

    /// Lines kept for other nodes.
    [[nodiscard]] std::size_t held() const;

private:
    enum class line_stage : std::uint8_t { none, intended, confirmed };

    struct open_line {
        ledger_line line;
        line_stage stage = line_stage::intended;
        std::map<node_id, line_stage> holders; ///< what each peer has acknowledged
        std::set<node_id> asked;               ///< peers that may have got it
        done_handler intent;                   ///< while `intend` waits
        timer_id intent_timer;
    };

    struct outbox {
        network_address address;
        std::set<request_id> lines;
        std::set<request_id> drops;
        bool calling = false;
        bool scheduled = false;
    };

    [[nodiscard]] bool has_room(double share) const;
    [[nodiscard]] std::vector<member> choose_replicas();
    void refresh_candidates();
    [[nodiscard]] bool is_held(const open_line& open, std::size_t count) const;
    void replicate(const request_id& request, open_line& open);
    void settle_intent(open_line& open);
    void on_intent_timeout(const request_id& request);
    void add(const ledger_line& line, line_stage stage, done_handler handler);
    void remove(const request_id& request);
    bool adopt(const ledger_line& line);

    void schedule_outbox(const node_id& peer, duration window);
    void send_outbox(const node_id& peer);
    void send_lines(const node_id& peer, outbox& box);
    void send_drops(const node_id& peer, outbox& box);
    void on_stored(const node_id& peer, const std::vector<std::pair<request_id, line_stage>>& sent,
                   const result<std::string>& answer);
    void on_dropped(const node_id& peer, const std::vector<request_id>& sent,
                    const result<std::string>& answer);
    void penalise(const node_id& peer, const error& failure);
    void on_member_change(const member& changed);
    void retry_needy();

    [[nodiscard]] duration append_interval() const;
    [[nodiscard]] duration random_up_to(duration bound);
    void schedule_append(duration delay);
    void append();
    void on_appended(const std::vector<request_id>& sent, bool succeeded, const std::string& why);
    void wait_for_flush(monotonic_time give_up, const std::shared_ptr<done_handler>& handler);
    [[nodiscard]] std::size_t unheld_confirmed() const;

    ledger_settings settings;
    ledger_dependencies on;
    std::uint64_t session;
    ledger_statistics counts;
    std::unique_ptr<ledger_replicas> replicas;
    std::unordered_map<request_id, open_line> lines;
    std::size_t bytes = 0;
    std::deque<request_id> queue; ///< confirmed lines that wait for the log, oldest first
    std::map<node_id, outbox> outboxes;
    std::map<node_id, monotonic_time> penalties; ///< peers left out until then
    std::unordered_set<request_id> needy;        ///< lines that lack a replica
    bool needy_scheduled = false;
    std::vector<member> candidates; ///< peers in other availability zones, best first
    bool candidates_known = false;
    bool appending = false;
    bool append_scheduled = false;
    timer_id append_timer;
    monotonic_time next_append{}; ///< not before, unless for a flush
    int failures = 0;             ///< of appends, in a row
    bool flushing = false;
};

} // namespace eelgrassbend

#endif
