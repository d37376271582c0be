#ifndef EELGRASSBEND_UNITTESTS_CLAIMS_CLAIM_INTERLEAVING_H
#define EELGRASSBEND_UNITTESTS_CLAIMS_CLAIM_INTERLEAVING_H

#include "claims_cluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

/// One random run: callers ask for a few keys at random nodes and times while log, network and
/// nodes fail; then the faults end. Keeps the execution record and what each caller was told.
class claim_interleaving {
public:
    explicit claim_interleaving(std::uint64_t seed);

    /// What went wrong; empty if all promises held.
    std::string run();

    std::size_t executions = 0;
    std::map<claim_state, std::size_t> answers;

private:
    struct caller {
        std::size_t key;
        std::size_t node;
        std::string request;
        int answered = 0;
        bool executed = false;
        claim_answer answer;
    };

    struct key_record {
        idempotency_key key;
        std::vector<std::string> executed;
        std::string recorded;      ///< request whose outcome got into the log for certain
        bool touched_dead = false; ///< a node that dies got a request for it
        bool expiring = false;     ///< gets too old during the run
    };

    duration up_to(duration bound);
    bool chance(double share);
    std::size_t pick(std::size_t bound);

    void plan_faults();
    void plan_log_faults();
    void plan_node_faults(std::size_t node);
    void end_faults();

    void plan_caller(std::size_t key, int retries, duration delay);
    void begin(std::size_t number, int retries);
    void on_answer(std::size_t number, int retries, const claim_answer& answer);
    void try_dispatch(std::size_t number);
    void dispatch(std::size_t number);
    void finish(std::size_t number);
    void release(std::size_t number);

    std::string check_callers() const;
    std::string check_keys();
    std::string check_free_key(std::size_t key);

    seeded_random random;
    claims_cluster cluster;
    std::vector<key_record> keys;
    std::vector<caller> callers;
    std::set<std::size_t> killed;
    bool truncated = false;
};

} // namespace eelgrassbend

#endif
