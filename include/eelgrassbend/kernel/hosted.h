#ifndef EELGRASSBEND_KERNEL_HOSTED_H
#define EELGRASSBEND_KERNEL_HOSTED_H

#include "eelgrassbend/kernel/kernel.h"

#include <utility>

namespace eelgrassbend {

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
