#ifndef EELGRASSBEND_MEMBERSHIP_MEMBERSHIP_H
#define EELGRASSBEND_MEMBERSHIP_MEMBERSHIP_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend {

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// The record of an entry node.
struct member {
    node_id id;
    std::uint64_t incarnation = 0; ///< raised by the node itself only
    member_state state = member_state::alive;
    region_name region;
    availability_zone zone;
    network_address callers;   ///< HTTP, from callers
    network_address datagrams; ///< probes and gossip
    network_address calls;     ///< peer calls
    bundle_version bundle;     ///< last reported version in force on the node
};

/// The set of entry nodes.
class membership {
public:
    virtual ~membership() = default;
    [[nodiscard]] virtual const member& self() const = 0;
    /// Returns all known nodes except this one and dead ones.
    [[nodiscard]] virtual std::vector<member> peers() const = 0;
    /// Announces to the other nodes that this node accepts no new callers.
    virtual void announce_leaving() = 0;
    /// Adds an observer, which is called with each member that changes.
    virtual void on_change(std::function<void(const member&)> observer) = 0;
};

/// Broadcasts small messages to all entry nodes. The handler receives each message at most once.
class dissemination {
public:
    using handler = std::function<void(const std::string& payload)>;

    virtual ~dissemination() = default;
    /// `topic` is a short stable name such as "bundle"; the payload has at most 900 bytes.
    virtual void publish(const std::string& topic, const std::string& payload) = 0;
    virtual void subscribe(const std::string& topic, handler receiver) = 0;
};

} // namespace eelgrassbend

#endif
