#ifndef EELGRASSBEND_KERNEL_KERNEL_H
#define EELGRASSBEND_KERNEL_KERNEL_H

#include "eelgrassbend/support/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// A part of a program that is started and stopped with it.
class service {
public:
    virtual ~service() = default;

    virtual void start() {}

    /// Calls `done` once the service has stopped; services that depend on it have stopped before.
    virtual void stop(std::function<void()> done) { done(); }
};

/// The services that another one named as its dependencies.
class resolved_services {
public:
    explicit resolved_services(std::map<std::string, std::shared_ptr<service>> services);

    /// The dependency `name` as the interface `Interface`. It must have been declared.
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

/// Builds services in the order of their dependencies, which they give by name.
class kernel {
public:
    using factory = std::function<std::shared_ptr<service>(const resolved_services&)>;

    kernel() = default;
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    /// Destroys the services, last built first.
    ~kernel();

    /// Registers a service; errors: `conflict` if the name is taken.
    result<void> add(std::string name, std::vector<std::string> dependencies, factory create);
    /// Builds and starts all services. Errors: `not_found` names a missing dependency,
    /// `invalid_argument` names the services of a cycle.
    result<void> start();
    /// Stops all services, last started first; `done` is called once all have stopped.
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
