#ifndef EELGRASSBEND_CODEC_KJ_COMPARE_H
#define EELGRASSBEND_CODEC_KJ_COMPARE_H

#include <kj/string.h>

// With C++20, KJ 0.9 counts on reversed comparisons that Clang does not make for a type that has
// operator!= too. To be included before any header of Cap'n Proto.
#if defined(__clang__)
namespace kj {

inline bool operator==(const char* left, const StringPtr& right)
{
    return StringPtr(left) == right;
}

inline bool operator!=(const char* left, const StringPtr& right)
{
    return StringPtr(left) != right;
}

} // namespace kj
#endif

#endif
