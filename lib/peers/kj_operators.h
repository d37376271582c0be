#ifndef EELGRASSBEND_LIB_PEERS_KJ_OPERATORS_H
#define EELGRASSBEND_LIB_PEERS_KJ_OPERATORS_H

// Must be included before any Cap'n Proto header.

#include <kj/string.h>

#ifdef __clang__
// Clang follows P2468R2 and, unlike GCC 12, does not reverse the member operators of kj 0.9 for
// these comparisons, which capnp/blob.h needs.
namespace kj {

inline bool operator==(const char* left, const StringPtr& right)
{
    return right == StringPtr(left);
}

inline bool operator!=(const char* left, const StringPtr& right)
{
    return right != StringPtr(left);
}

} // namespace kj
#endif

#endif
