#ifndef EELGRASSBEND_KERNEL_KERNEL_H
#define EELGRASSBEND_KERNEL_KERNEL_H

#include "eelgrassbend/support/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// A part of a program that the kernel starts and stops.
class service {
public:
    virtual ~service() = default;

    virtual void start() {}

    /// Stops the service and calls `done` once it has stopped. Services that depend on it are
    /// already stopped.
    virtual void stop(std::function<void()> done) { done(); }
};

/// The services that a service declares as its dependencies.
class resolved_services {
public:
    explicit resolved_services(std::map<std::string, std::shared_ptr<service>> services);

    /// Returns the dependency `name` as `Interface`. Throws std::logic_error if it was not declared
    /// or does not implement the interface.
    template <typename Interface>
    [[nodiscard]] Interface& get(const std::string& name) const
    {
        auto* found = dynamic_cast<Interface*>(&this->find(name));
        if (found == nullptr) {
            this->throw_interface_mismatch(name);
        }
        return *found;
    }

private:
    [[nodiscard]] service& find(const std::string& name) const;
    [[noreturn]] static void throw_interface_mismatch(const std::string& name);

    std::map<std::string, std::shared_ptr<service>> services;
};

/// Creates, starts and stops services in the order of their dependencies, which are declared by
/// name.
class kernel {
public:
    using factory = std::function<std::shared_ptr<service>(const resolved_services&)>;

    kernel() = default;
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    /// Destroys the services in the reverse order of their creation.
    ~kernel();

    /// Registers a service. Errors: `conflict` if the name is already registered.
    result<void> add(std::string name, std::vector<std::string> dependencies, factory create);
    /// Creates all services, then starts them. Errors: `not_found` for a missing dependency,
    /// `invalid_argument` for a dependency cycle.
    result<void> start();
    /// Stops the services in the reverse order of their start; calls `done` once all have stopped.
    void stop(std::function<void()> done);

private:
    struct registration {
        std::vector<std::string> dependencies;
        factory create;
        std::shared_ptr<service> instance;
    };

    result<void> resolve(const std::string& name, std::vector<std::string>& path);
    void stop_remaining(std::size_t remaining, std::function<void()> done);

    std::map<std::string, registration> registrations;
    std::vector<std::string> start_order;
};

} // namespace eelgrassbend

#endif
