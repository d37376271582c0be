#include "eelgrassbend/kernel/kernel.h"

#include <algorithm>
#include <cassert>
#include <stdexcept>
#include <utility>

namespace eelgrassbend {

resolved_services::resolved_services(std::map<std::string, std::shared_ptr<service>> services)
    : services(std::move(services))
{
}

service& resolved_services::find(const std::string& name) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end()) {
        throw std::logic_error("service '" + name + "' was not declared as a dependency");
    }
    return *found->second;
}

void resolved_services::throw_interface_mismatch(const std::string& name)
{
    throw std::logic_error("service '" + name + "' does not implement the requested interface");
}

// A service may use its dependencies until it is destroyed, so it is destroyed before them.
kernel::~kernel()
{
    for (auto name = this->start_order.rbegin(); name != this->start_order.rend(); ++name) {
        this->registrations.at(*name).instance.reset();
    }
}

result<void> kernel::add(std::string name, std::vector<std::string> dependencies, factory create)
{
    const auto [position, added] = this->registrations.try_emplace(
        std::move(name), registration{std::move(dependencies), std::move(create), nullptr});
    if (!added) {
        return make_error(errc::conflict, "register service", position->first,
                          "name is already registered");
    }
    return boost::outcome_v2::success();
}

static std::string describe_cycle(const std::vector<std::string>& path, const std::string& name)
{
    std::string text;
    auto step = std::find(path.begin(), path.end(), name);
    for (; step != path.end(); ++step) {
        text += *step + " -> ";
    }
    return text + name;
}

result<void> kernel::resolve(const std::string& name, std::vector<std::string>& path)
{
    const auto found = this->registrations.find(name);
    if (found == this->registrations.end()) {
        const auto required_by = path.empty() ? std::string{} : "required by " + path.back();
        return make_error(errc::not_found, "resolve service", name, required_by);
    }
    registration& current = found->second;
    if (current.instance) {
        return boost::outcome_v2::success();
    }
    if (std::find(path.begin(), path.end(), name) != path.end()) {
        return make_error(errc::invalid_argument, "resolve service", name,
                          "cycle " + describe_cycle(path, name));
    }
    path.push_back(name);
    std::map<std::string, std::shared_ptr<service>> resolved;
    for (const auto& dependency : current.dependencies) {
        if (auto built = this->resolve(dependency, path); !built) {
            return built.error();
        }
        resolved.emplace(dependency, this->registrations.at(dependency).instance);
    }
    path.pop_back();
    current.instance = current.create(resolved_services{std::move(resolved)});
    assert(current.instance && "a factory must not return null");
    this->start_order.push_back(name);
    return boost::outcome_v2::success();
}

result<void> kernel::start()
{
    for (const auto& [name, unused] : this->registrations) {
        std::vector<std::string> path;
        if (auto built = this->resolve(name, path); !built) {
            return built.error();
        }
    }
    for (const auto& name : this->start_order) {
        this->registrations.at(name).instance->start();
    }
    return boost::outcome_v2::success();
}

void kernel::stop(std::function<void()> done)
{
    this->stop_remaining(this->start_order.size(), std::move(done));
}

void kernel::stop_remaining(std::size_t remaining, std::function<void()> done)
{
    if (remaining == 0) {
        done();
        return;
    }
    auto& last = this->registrations.at(this->start_order[remaining - 1]);
    last.instance->stop([this, remaining, done = std::move(done)]() mutable {
        this->stop_remaining(remaining - 1, std::move(done));
    });
}

} // namespace eelgrassbend
