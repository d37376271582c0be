#ifndef EELGRASSBEND_SUPPORT_BYTE_BUDGET_H
#define EELGRASSBEND_SUPPORT_BYTE_BUDGET_H

#include <cstddef>

namespace eelgrassbend {

/// Memory that many holders share.
class byte_budget {
public:
    /// `most_each`: bytes for one holder; `most`: for all.
    byte_budget(std::size_t most_each, std::size_t most) : most_each(most_each), most(most) {}

private:
    friend class byte_reservation;

    std::size_t most_each;
    std::size_t most;
    std::size_t taken = 0;
};

/// One holder's part of a budget, which outlives it; given back at the end.
class byte_reservation {
public:
    explicit byte_reservation(byte_budget& budget) : budget(budget) {}

    ~byte_reservation() { this->clear(); }

    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    /// False if there is no room; nothing is taken then.
    [[nodiscard]] bool grow(std::size_t bytes)
    {
        const bool fits = bytes <= this->budget.most_each - this->held &&
                          bytes <= this->budget.most - this->budget.taken;
        if (fits) {
            this->held += bytes;
            this->budget.taken += bytes;
        }
        return fits;
    }

    void clear()
    {
        this->budget.taken -= this->held;
        this->held = 0;
    }

private:
    byte_budget& budget;
    std::size_t held = 0;
};

} // namespace eelgrassbend

#endif
