#ifndef EELGRASSBEND_SUPPORT_RANDOM_SOURCE_H
#define EELGRASSBEND_SUPPORT_RANDOM_SOURCE_H

#include <cstdint>
#include <limits>
#include <random>

namespace eelgrassbend {

/// A source of random numbers; satisfies std::uniform_random_bit_generator, so that the
/// distributions of <random> take it.
class random_source {
public:
    using result_type = std::uint64_t;

    virtual ~random_source() = default;
    virtual result_type operator()() = 0;

    static constexpr result_type min() { return 0; }

    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
};

/// Repeats the same numbers for the same seed.
class seeded_random : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : engine(seed) {}

    result_type operator()() override { return this->engine(); }

private:
    std::mt19937_64 engine;
};

/// A seed from the operating system, different for each process.
std::uint64_t system_seed();
/// A number in [0, bound); `bound` must be positive.
std::uint64_t random_below(random_source& source, std::uint64_t bound);
/// A number in [0, 1).
double random_unit(random_source& source);

} // namespace eelgrassbend

#endif
