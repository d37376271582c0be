#include "allocation_count.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

// The program's own operators count what the allocator really hands out; the allocator's
// statistics leave out what it keeps for reuse.
static std::size_t counted = 0;

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc{};
    }
    counted += malloc_usable_size(memory);
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (memory != nullptr) {
        counted -= malloc_usable_size(memory);
        std::free(memory);
    }
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace eelgrassbend::bench {

std::size_t allocated_bytes()
{
    return counted;
}

} // namespace eelgrassbend::bench
