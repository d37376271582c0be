#ifndef EELGRASSBEND_SUPPORT_STRONG_TYPE_H
#define EELGRASSBEND_SUPPORT_STRONG_TYPE_H

#include <compare>
#include <functional>
#include <utility>

namespace eelgrassbend {

/// A value that cannot be mixed up with another of the same representation.
template <typename Tag, typename Value>
class strong_type {
public:
    using value_type = Value;

    strong_type() = default;

    explicit strong_type(Value initial) : held(std::move(initial)) {}

    [[nodiscard]] const Value& value() const { return this->held; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;
    friend bool operator==(const strong_type&, const strong_type&) = default;

private:
    Value held{};
};

/// A strong type over a number, with sums and differences.
template <typename Tag, typename Value>
class strong_number : public strong_type<Tag, Value> {
public:
    using strong_type<Tag, Value>::strong_type;

    friend strong_number operator+(strong_number left, strong_number right)
    {
        return strong_number{left.value() + right.value()};
    }

    friend strong_number operator-(strong_number left, strong_number right)
    {
        return strong_number{left.value() - right.value()};
    }

    strong_number& operator+=(strong_number other) { return *this = *this + other; }

    strong_number& operator-=(strong_number other) { return *this = *this - other; }
};

} // namespace eelgrassbend

template <typename Tag, typename Value>
struct std::hash<eelgrassbend::strong_type<Tag, Value>> {
    std::size_t operator()(const eelgrassbend::strong_type<Tag, Value>& key) const
    {
        return std::hash<Value>{}(key.value());
    }
};

template <typename Tag, typename Value>
struct std::hash<eelgrassbend::strong_number<Tag, Value>> {
    std::size_t operator()(const eelgrassbend::strong_number<Tag, Value>& key) const
    {
        return std::hash<Value>{}(key.value());
    }
};

#endif
