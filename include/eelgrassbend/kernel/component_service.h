#ifndef EELGRASSBEND_KERNEL_COMPONENT_SERVICE_H
#define EELGRASSBEND_KERNEL_COMPONENT_SERVICE_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/support/error.h"

#include <system_error>
#include <utility>

namespace eelgrassbend {

/// Fails the start of the kernel from within a factory, where nothing else can be done. Throws
/// std::system_error.
template <typename Value>
void throw_on_error(const result<Value>& outcome)
{
    if (!outcome) {
        throw std::system_error(outcome.error().code, outcome.error().to_string());
    }
}

/// Makes a component a service of the kernel. The component's own `start()` and
/// `stop(done)` or `stop()` are used if it has them.
template <typename Component>
class component_service final : public service, public Component {
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
