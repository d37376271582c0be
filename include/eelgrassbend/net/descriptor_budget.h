#ifndef EELGRASSBEND_NET_DESCRIPTOR_BUDGET_H
#define EELGRASSBEND_NET_DESCRIPTOR_BUDGET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace eelgrassbend {

/// Outgoing connections of a client, or of all clients.
struct connection_counts {
    std::size_t open = 0; ///< includes idle ones
    std::size_t idle = 0;
    std::uint64_t opened = 0; ///< since the start
    std::uint64_t reused = 0; ///< since the start
};

/// A component that keeps idle outgoing connections.
class connection_owner {
public:
    virtual ~connection_owner() = default;
    [[nodiscard]] virtual connection_counts connections() const = 0;
    /// Closes up to `count` idle connections, those idle longest first; returns how many.
    virtual std::size_t close_idle(std::size_t count) = 0;
};

/// Bounds the descriptors of a process. Idle outgoing connections are closed before callers or new
/// outgoing connections lack descriptors, and some descriptors are left to callers alone.
class descriptor_budget {
public:
    using counter = std::function<std::size_t()>;

    /// `limit`: descriptors of the process, including those reserved for files.
    explicit descriptor_budget(std::size_t limit);

    /// `owner` must be removed before it is destroyed.
    void add(connection_owner& owner);
    void remove(connection_owner& owner);
    /// Adds a source of open descriptors other than outgoing connections, such as callers.
    void add_counter(counter open);

    /// Closes idle connections if descriptors are short. Returns whether another outgoing
    /// connection may be opened.
    bool make_room();
    /// Whether requests can be served: whether an outgoing connection may be opened, if need be in
    /// place of an idle one.
    [[nodiscard]] bool can_serve() const;

    /// Sum over all owners.
    [[nodiscard]] connection_counts outgoing() const;
    /// Open descriptors, as far as they are counted.
    [[nodiscard]] std::size_t open() const;

    /// Bound of `open()`.
    [[nodiscard]] std::size_t bound() const { return this->usable; }

private:
    [[nodiscard]] std::size_t outgoing_bound() const { return this->usable - this->caller_reserve; }

    std::size_t usable;
    std::size_t caller_reserve;
    std::vector<connection_owner*> owners;
    std::vector<counter> counters;
};

} // namespace eelgrassbend

#endif
