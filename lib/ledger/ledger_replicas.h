#ifndef EELGRASSBEND_LIB_LEDGER_LEDGER_REPLICAS_H
#define EELGRASSBEND_LIB_LEDGER_LEDGER_REPLICAS_H

#include "eelgrassbend/ledger/replicated_ledger.h"

#include "ledger_codec.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace eelgrassbend {

/// Keeps lines for other nodes and takes over the confirmed ones of those that died.
class ledger_replicas {
public:
    /// Takes over a line; false if there is no room for it.
    using adopt_handler = std::function<bool(const ledger_line&)>;

    ledger_replicas(const ledger_settings& settings, const ledger_dependencies& dependencies,
                    adopt_handler adopt);

    /// Answers calls of peers and watches the members.
    void start();

    void stop() { this->stopped = true; }

    [[nodiscard]] std::size_t lines() const { return this->held_lines; }

private:
    struct held_line {
        ledger_line line;
        bool confirmed = false;
        monotonic_time since;
    };

    struct held_origin {
        std::unordered_map<request_id, held_line> lines;
        bool dead = false;
    };

    result<std::string> store(const std::string& bytes);
    result<std::string> drop(const std::string& bytes);
    void keep(held_origin& origin, ledger_line line, bool confirmed);
    void bury_older_sessions(const ledger_origin& origin);
    void bury(const node_id& node);
    void adopt(held_origin& origin);
    void sweep();
    void sweep(held_origin& origin);
    void forget(held_origin& origin, const request_id& request);
    [[nodiscard]] bool is_known(const node_id& node) const;

    const ledger_settings& settings;
    const ledger_dependencies& on;
    adopt_handler adopt_line;
    std::map<ledger_origin, held_origin> origins;
    std::map<node_id, monotonic_time> missing_since; ///< origins that are no known member
    std::size_t held_lines = 0;
    std::size_t held_bytes = 0;
    bool stopped = false;
};

} // namespace eelgrassbend

#endif
