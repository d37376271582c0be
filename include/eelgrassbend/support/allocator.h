#ifndef EELGRASSBEND_SUPPORT_ALLOCATOR_H
#define EELGRASSBEND_SUPPORT_ALLOCATOR_H

#include <malloc.h>

namespace eelgrassbend {

/// Makes the process return large blocks to the host once they are freed. By default the C library
/// raises the threshold after the first large block and then keeps such blocks.
inline void return_large_blocks()
{
    constexpr int threshold_bytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, 2 * threshold_bytes);
}

} // namespace eelgrassbend

#endif
