#ifndef EELGRASSBEND_KERNEL_COMPONENT_SERVICE_H
#define EELGRASSBEND_KERNEL_COMPONENT_SERVICE_H

#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/support/error.h"

#include <system_error>
#include <utility>

namespace eelgrassbend {

/// Throws std::system_error if `outcome` is an error. For service factories, which have no other
/// way to make the start of the kernel fail.
template <typename Value>
void throw_on_error(const result<Value>& outcome)
{
    if (!outcome) {
        throw std::system_error(outcome.error().code, outcome.error().to_string());
    }
}

/// Adapts a component to a service of the kernel. Calls the component's own `start()` and
/// `stop(done)` or `stop()` if it has them.
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
