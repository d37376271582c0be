#ifndef EELGRASSBEND_NET_CLIENT_BUDGET_H
#define EELGRASSBEND_NET_CLIENT_BUDGET_H

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace eelgrassbend {

/// A connection that holds a part of the budget. Neither call may change the budget before it
/// returns.
class budget_holder {
public:
    virtual ~budget_holder() = default;
    /// There is room for what `try_grow` refused.
    virtual void on_room() = 0;
    /// The connection has to close, since it holds most of a budget that is used up.
    virtual void on_evicted() = 0;
};

/// Bytes that a process may hold for its callers. Decides who waits and who has to close; it does
/// no I/O.
///
/// Holders of more than `small_bytes` use no more than three quarters, so that small requests are
/// served while large ones wait. While holders of other addresses wait, one address gets no more
/// than a quarter.
class client_budget : public std::enable_shared_from_this<client_budget> {
public:
    static constexpr std::size_t small_bytes = std::size_t{64} * 1024;

    explicit client_budget(std::size_t total) : total(total) {}

    class account;

    /// `holder` must live until the account is closed.
    std::shared_ptr<account> open(std::string address, budget_holder& holder);
    /// Evicts the largest holders until the budget is kept, or one if it is kept but others wait.
    /// Returns whether a holder was evicted.
    bool relieve();

    [[nodiscard]] std::size_t capacity() const { return this->total; }

    [[nodiscard]] std::size_t used() const { return this->used_bytes; }

    [[nodiscard]] std::size_t waiting() const { return this->waiters.size(); }

    /// Whether large requests have to wait.
    [[nodiscard]] bool is_short() const { return this->used_bytes >= this->large_capacity(); }

private:
    struct address_use {
        std::size_t bytes = 0;
        std::size_t accounts = 0;
    };

    [[nodiscard]] std::size_t large_capacity() const { return this->total / 4 * 3; }

    [[nodiscard]] bool may_grow(const account& owner, std::size_t bytes) const;
    [[nodiscard]] account* find_largest() const;
    bool evict_largest();
    void add(account& owner, std::size_t bytes);
    void remove(account& owner, std::size_t bytes);
    void stop_waiting(account& owner);
    void wake_waiters();

    std::size_t total;
    std::size_t used_bytes = 0;
    std::size_t evicted_bytes = 0; ///< held by evicted holders, which are about to release them
    std::map<std::string, address_use> by_address; ///< of the open accounts
    std::list<account*> accounts;
    std::list<account*> waiters; ///< in order of their requests
};

/// What one connection holds. May outlive the connection: a body is charged until it is freed.
class client_budget::account {
public:
    account(std::shared_ptr<client_budget> budget, std::string address, budget_holder& holder);
    ~account();
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    /// Takes `bytes` if there is room; otherwise the holder is called once there is.
    [[nodiscard]] bool try_grow(std::size_t bytes);
    /// Takes bytes that are held already; holders may be evicted.
    void charge(std::size_t bytes);
    void release(std::size_t bytes);

    /// Whether the holder may be closed for others.
    void set_evictable(bool evictable) { this->is_evictable = evictable; }

    /// The connection is gone.
    void close();

    [[nodiscard]] std::size_t held() const { return this->held_bytes; }

private:
    friend class client_budget;

    std::shared_ptr<client_budget> budget;
    std::string address;
    budget_holder* holder;
    std::list<account*>::iterator place;
    std::size_t held_bytes = 0;
    std::size_t wanted_bytes = 0; ///< while it waits
    bool is_evictable = false;
    bool is_evicted = false;
};

} // namespace eelgrassbend

#endif
