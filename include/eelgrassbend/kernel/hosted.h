#ifndef EELGRASSBEND_KERNEL_HOSTED_H
#define EELGRASSBEND_KERNEL_HOSTED_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/support/error.h"

#include <system_error>
#include <utility>

namespace eelgrassbend {

/// Fails the start of the kernel from within a factory, where nothing else can be done. Throws
/// std::system_error.
template <typename Value>
void require(const result<Value>& made)
{
    if (!made) {
        throw std::system_error(made.error().code, made.error().to_string());
    }
}

/// Makes a component a service of the kernel. The component's own `start()` and
/// `stop(done)` or `stop()` are used if it has them.
template <typename Component>
class hosted final : public service, public Component {
public:
    using Component::Component;

    void start() override
    {
        if constexpr (requires(Component& component) { component.Component::start(); }) {
            Component::start();
        }
    }

    void stop(std::function<void()> done) override
    {
        if constexpr (requires(Component& component) { component.Component::stop(done); }) {
            Component::stop(std::move(done));
        }
        else {
            if constexpr (requires(Component& component) { component.Component::stop(); }) {
                Component::stop();
            }
            done();
        }
    }
};

} // namespace eelgrassbend

#endif
