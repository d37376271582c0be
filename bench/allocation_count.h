#ifndef EELGRASSBEND_BENCH_ALLOCATION_COUNT_H
#define EELGRASSBEND_BENCH_ALLOCATION_COUNT_H

#include <cstddef>

namespace eelgrassbend::bench {

/// Bytes that `new` has handed out and that were not given back.
std::size_t allocated_bytes();

} // namespace eelgrassbend::bench

#endif
