#ifndef EELGRASSBEND_SUPPORT_SHARED_BYTES_H
#define EELGRASSBEND_SUPPORT_SHARED_BYTES_H

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassbend {

/// Immutable bytes that are kept once, until the last copy of this object is gone.
class shared_bytes {
public:
    shared_bytes() = default;

    // Implicit, since the text of a body is mostly built as a string.
    shared_bytes(std::string text) // NOLINT(google-explicit-constructor)
    {
        auto kept = std::make_shared<const std::string>(std::move(text));
        this->bytes = *kept;
        this->owner = std::move(kept);
    }

    shared_bytes(const char* text) // NOLINT(google-explicit-constructor)
        : shared_bytes(std::string{text})
    {
    }

    /// `owner` keeps `bytes` valid.
    shared_bytes(std::shared_ptr<const void> owner, std::string_view bytes)
        : owner(std::move(owner)), bytes(bytes)
    {
    }

    [[nodiscard]] std::string_view view() const { return this->bytes; }

    operator std::string_view() const { return this->bytes; } // NOLINT(google-explicit-constructor)

    [[nodiscard]] std::size_t size() const { return this->bytes.size(); }

    [[nodiscard]] bool empty() const { return this->bytes.empty(); }

    [[nodiscard]] auto begin() const { return this->bytes.begin(); }

    [[nodiscard]] auto end() const { return this->bytes.end(); }

    /// Gives up this reference to the bytes.
    void reset() { *this = shared_bytes{}; }

private:
    std::shared_ptr<const void> owner;
    std::string_view bytes;
};

} // namespace eelgrassbend

#endif
