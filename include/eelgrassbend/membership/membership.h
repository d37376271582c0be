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

/// One entry node as the others see it.
struct member {
    node_id id;
    std::uint64_t incarnation = 0; ///< only the node itself raises it
    member_state state = member_state::alive;
    region_name region;
    availability_zone zone;
    network_address callers;   ///< HTTP towards callers
    network_address datagrams; ///< probes and rumours
    network_address calls;     ///< peer calls
    bundle_version bundle;     ///< in force there when last heard
};

/// Which entry nodes there are.
class membership {
public:
    virtual ~membership() = default;
    [[nodiscard]] virtual const member& self() const = 0;
    /// All known nodes but this one; the dead are left out.
    [[nodiscard]] virtual std::vector<member> peers() const = 0;
    /// Tells the others that this node takes no new callers.
    virtual void announce_leaving() = 0;
    /// Calls back with each changed member.
    virtual void on_change(std::function<void(const member&)> observer) = 0;
};

/// Spreads small messages to all entry nodes, each at most once to the handler.
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
