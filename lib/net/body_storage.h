#ifndef EELGRASSBEND_LIB_NET_BODY_STORAGE_H
#define EELGRASSBEND_LIB_NET_BODY_STORAGE_H

#include "eelgrassbend/net/client_budget.h"

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <new>
#include <string_view>
#include <utility>

namespace eelgrassbend {

/// The bytes of a body, charged to an account by allocated size until they are freed. Grows by
/// `realloc`, which moves large blocks without a second copy.
class body_storage {
public:
    explicit body_storage(std::shared_ptr<client_budget::account> account)
        : account(std::move(account))
    {
    }

    ~body_storage()
    {
        std::free(this->bytes);
        this->account->release(this->allocated);
    }

    body_storage(const body_storage&) = delete;
    body_storage& operator=(const body_storage&) = delete;

    /// False if the budget has no room; the holder of the account is called once it has.
    [[nodiscard]] bool grow(std::size_t capacity)
    {
        if (!this->account->try_grow(capacity - this->allocated)) {
            return false;
        }
        this->reallocate(capacity);
        return true;
    }

    void shrink()
    {
        if (this->used == this->allocated) {
            return;
        }
        const auto surplus = this->allocated - this->used;
        this->reallocate(this->used);
        this->account->release(surplus);
    }

    void commit(std::size_t count) { this->used += count; }

    [[nodiscard]] char* end() const { return this->bytes + this->used; }

    [[nodiscard]] std::size_t room() const { return this->allocated - this->used; }

    [[nodiscard]] std::size_t capacity() const { return this->allocated; }

    [[nodiscard]] std::size_t size() const { return this->used; }

    [[nodiscard]] std::string_view view() const { return {this->bytes, this->used}; }

private:
    void reallocate(std::size_t capacity)
    {
        if (capacity == 0) {
            std::free(std::exchange(this->bytes, nullptr));
            this->allocated = 0;
            return;
        }
        auto* moved = static_cast<char*>(std::realloc(this->bytes, capacity));
        if (moved == nullptr) {
            throw std::bad_alloc{};
        }
        this->bytes = moved;
        this->allocated = capacity;
    }

    std::shared_ptr<client_budget::account> account;
    char* bytes = nullptr;
    std::size_t allocated = 0;
    std::size_t used = 0;
};

} // namespace eelgrassbend

#endif
