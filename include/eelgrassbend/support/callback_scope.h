#ifndef EELGRASSBEND_SUPPORT_CALLBACK_SCOPE_H
#define EELGRASSBEND_SUPPORT_CALLBACK_SCOPE_H

#include <memory>
#include <utility>

namespace eelgrassbend {

/// Ends callbacks with the object that holds it as a member: calls and timers outlive the object
/// that waits for them.
class callback_scope {
public:
    callback_scope() = default;
    ~callback_scope() = default;
    callback_scope(const callback_scope&) = delete;
    callback_scope& operator=(const callback_scope&) = delete;

    /// `action` while this exists, and nothing afterwards.
    template <typename Action>
    [[nodiscard]] auto guard(Action action) const
    {
        return [weak = std::weak_ptr<int>(this->alive),
                action = std::move(action)](auto&&... arguments) mutable {
            if (!weak.expired()) {
                action(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace eelgrassbend

#endif
