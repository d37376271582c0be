#include "eelgrassbend/net/client_budget.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

std::shared_ptr<client_budget::account> client_budget::open(std::string address,
                                                            budget_holder& holder)
{
    return std::make_shared<account>(this->shared_from_this(), std::move(address), holder);
}

bool client_budget::may_grow(const account& owner, std::size_t bytes) const
{
    const bool is_small = owner.held_bytes + bytes <= small_bytes;
    if (this->used_bytes + bytes > (is_small ? this->total : this->large_capacity())) {
        return false;
    }
    if (is_small) {
        return true;
    }
    const bool others_wait =
        std::any_of(this->waiters.begin(), this->waiters.end(),
                    [&](const account* waiter) { return waiter->address != owner.address; });
    const auto found = this->by_address.find(owner.address);
    const auto by_owner = found != this->by_address.end() ? found->second.bytes : 0;
    return !others_wait || by_owner + bytes <= this->total / 4;
}

// The address that holds most gives way first, and of its connections the one that holds most.
client_budget::account* client_budget::find_largest() const
{
    account* largest = nullptr;
    std::pair<std::size_t, std::size_t> most{0, 0};
    for (auto* each : this->accounts) {
        if (each->holder == nullptr || !each->is_evictable || each->is_evicted) {
            continue;
        }
        const std::pair held{this->by_address.at(each->address).bytes, each->held_bytes};
        if (each->held_bytes > 0 && held > most) {
            most = held;
            largest = each;
        }
    }
    return largest;
}

bool client_budget::evict_largest()
{
    auto* largest = this->find_largest();
    if (largest == nullptr) {
        return false;
    }
    largest->is_evicted = true;
    this->evicted_bytes += largest->held_bytes;
    this->stop_waiting(*largest);
    largest->holder->on_evicted();
    return true;
}

bool client_budget::relieve()
{
    if (this->used_bytes - this->evicted_bytes <= this->total) {
        return !this->waiters.empty() && this->evict_largest();
    }
    bool has_evicted = false;
    while (this->used_bytes - this->evicted_bytes > this->total && this->evict_largest()) {
        has_evicted = true;
    }
    return has_evicted;
}

void client_budget::add(account& owner, std::size_t bytes)
{
    owner.held_bytes += bytes;
    this->used_bytes += bytes;
    this->by_address[owner.address].bytes += bytes;
    if (owner.is_evicted) {
        this->evicted_bytes += bytes;
    }
}

void client_budget::remove(account& owner, std::size_t bytes)
{
    owner.held_bytes -= bytes;
    this->used_bytes -= bytes;
    if (owner.is_evicted) {
        this->evicted_bytes -= bytes;
    }
    const auto found = this->by_address.find(owner.address);
    found->second.bytes -= bytes;
    this->wake_waiters();
}

void client_budget::stop_waiting(account& owner)
{
    if (std::exchange(owner.wanted_bytes, 0) > 0) {
        this->waiters.remove(&owner);
    }
}

// A waiter that is called again may still not fit, and then waits again.
void client_budget::wake_waiters()
{
    for (auto next = this->waiters.begin(); next != this->waiters.end();) {
        auto* waiter = *next;
        if (!this->may_grow(*waiter, waiter->wanted_bytes)) {
            ++next;
            continue;
        }
        next = this->waiters.erase(next);
        waiter->wanted_bytes = 0;
        waiter->holder->on_room();
    }
}

client_budget::account::account(std::shared_ptr<client_budget> budget, std::string address,
                                budget_holder& holder)
    : budget(std::move(budget)), address(std::move(address)), holder(&holder)
{
    this->place = this->budget->accounts.insert(this->budget->accounts.end(), this);
    ++this->budget->by_address[this->address].accounts;
}

client_budget::account::~account()
{
    this->close();
    this->release(this->held_bytes);
    this->budget->accounts.erase(this->place);
    const auto found = this->budget->by_address.find(this->address);
    if (--found->second.accounts == 0) {
        this->budget->by_address.erase(found);
    }
}

bool client_budget::account::try_grow(std::size_t bytes)
{
    if (!this->is_evicted && this->budget->may_grow(*this, bytes)) {
        this->budget->add(*this, bytes);
        return true;
    }
    if (this->holder != nullptr && !this->is_evicted && this->wanted_bytes == 0) {
        this->wanted_bytes = bytes;
        this->budget->waiters.push_back(this);
    }
    return false;
}

void client_budget::account::charge(std::size_t bytes)
{
    this->budget->add(*this, bytes);
    if (this->budget->used_bytes > this->budget->total) {
        this->budget->relieve();
    }
}

void client_budget::account::release(std::size_t bytes)
{
    if (bytes > 0) {
        this->budget->remove(*this, bytes);
    }
}

void client_budget::account::close()
{
    this->budget->stop_waiting(*this);
    this->holder = nullptr;
}

} // namespace eelgrassbend
