#include "eelgrassbend/kernel/kernel.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

namespace {

class recording_service : public service {
public:
    recording_service(std::string name, std::string& events) : name(std::move(name)), events(events)
    {
    }

    void start() override { this->events += "+" + this->name; }

    void stop(std::function<void()> done) override
    {
        this->events += "-" + this->name;
        done();
    }

private:
    std::string name;
    std::string& events;
};

} // namespace

static kernel::factory make_recording_factory(std::string name, std::string& events)
{
    return [name = std::move(name), &events](const resolved_services&) {
        return std::make_shared<recording_service>(name, events);
    };
}

BOOST_AUTO_TEST_CASE(services_start_after_and_stop_before_their_dependencies)
{
    std::string events;
    kernel services;
    BOOST_TEST(services.add("a", {"c"}, make_recording_factory("a", events)).has_value());
    BOOST_TEST(services.add("b", {}, make_recording_factory("b", events)).has_value());
    BOOST_TEST(services.add("c", {"b"}, make_recording_factory("c", events)).has_value());
    BOOST_TEST(services.start().has_value());
    services.stop([&] { events += "."; });
    BOOST_TEST(events == "+b+c+a-a-c-b.");
}

BOOST_AUTO_TEST_CASE(services_are_destroyed_before_their_dependencies)
{
    class destruction_recorder : public service {
    public:
        destruction_recorder(std::string name, std::string& events)
            : name(std::move(name)), events(events)
        {
        }

        destruction_recorder(const destruction_recorder&) = delete;
        destruction_recorder& operator=(const destruction_recorder&) = delete;

        ~destruction_recorder() override { this->events += this->name; }

    private:
        std::string name;
        std::string& events;
    };

    std::string events;
    {
        kernel services;
        for (const auto& [name, dependencies] : std::map<std::string, std::vector<std::string>>{
                 {"a", {"c"}}, {"b", {}}, {"c", {"b"}}}) {
            auto create = [name = name, &events](const resolved_services&) {
                return std::make_shared<destruction_recorder>(name, events);
            };
            BOOST_TEST(services.add(name, dependencies, create).has_value());
        }
        BOOST_TEST(services.start().has_value());
    }
    BOOST_TEST(events == "acb");
}

BOOST_AUTO_TEST_CASE(a_missing_dependency_is_reported)
{
    std::string events;
    kernel services;
    BOOST_TEST(services.add("a", {"ghost"}, make_recording_factory("a", events)).has_value());
    const auto started = services.start();
    BOOST_TEST(!started.has_value());
    BOOST_TEST(started.error().to_string() == "resolve service (ghost): not found: required by a");
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(a_dependency_cycle_is_reported)
{
    std::string events;
    kernel services;
    BOOST_TEST(services.add("a", {"b"}, make_recording_factory("a", events)).has_value());
    BOOST_TEST(services.add("b", {"a"}, make_recording_factory("b", events)).has_value());
    const auto started = services.start();
    BOOST_TEST(!started.has_value());
    BOOST_TEST(started.error().detail == "cycle a -> b -> a");
}

BOOST_AUTO_TEST_CASE(a_duplicate_name_is_rejected)
{
    std::string events;
    kernel services;
    BOOST_TEST(services.add("a", {}, make_recording_factory("a", events)).has_value());
    BOOST_TEST(!services.add("a", {}, make_recording_factory("a", events)).has_value());
}

BOOST_AUTO_TEST_CASE(an_undeclared_dependency_throws)
{
    kernel services;
    std::string events;
    BOOST_TEST(services.add("a", {}, make_recording_factory("a", events)).has_value());
    BOOST_TEST(services
                   .add("b", {},
                        [](const resolved_services& dependencies) -> std::shared_ptr<service> {
                            static_cast<void>(dependencies.get<recording_service>("a"));
                            return nullptr;
                        })
                   .has_value());
    BOOST_CHECK_THROW(static_cast<void>(services.start()), std::logic_error);
}

} // namespace eelgrassbend
