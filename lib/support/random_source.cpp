#include "eelgrassbend/support/random_source.h"

#include <cassert>

namespace eelgrassbend {

std::uint64_t system_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t random_below(random_source& source, std::uint64_t bound)
{
    assert(bound > 0 && "an empty range has no number");
    return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(source);
}

double random_unit(random_source& source)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(source);
}

} // namespace eelgrassbend
