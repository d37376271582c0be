#include "eelgrassbend/kernel/kernel.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

namespace {

class recorder : public service {
public:
    recorder(std::string name, std::string& events) : name(std::move(name)), events(events) {}

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

static kernel::factory make_recorder(std::string name, std::string& events)
{
    return [name = std::move(name), &events](const resolved_services&) {
        return std::make_shared<recorder>(name, events);
    };
}

BOOST_AUTO_TEST_CASE(services_start_after_and_stop_before_their_dependencies)
{
    std::string events;
    kernel core;
    BOOST_TEST(core.add("a", {"c"}, make_recorder("a", events)).has_value());
    BOOST_TEST(core.add("b", {}, make_recorder("b", events)).has_value());
    BOOST_TEST(core.add("c", {"b"}, make_recorder("c", events)).has_value());
    BOOST_TEST(core.start().has_value());
    core.stop([&] { events += "."; });
    BOOST_TEST(events == "+b+c+a-a-c-b.");
}

BOOST_AUTO_TEST_CASE(services_are_destroyed_before_their_dependencies)
{
    class mourner : public service {
    public:
        mourner(std::string name, std::string& events) : name(std::move(name)), events(events) {}

        mourner(const mourner&) = delete;
        mourner& operator=(const mourner&) = delete;

        ~mourner() override { this->events += this->name; }

    private:
        std::string name;
        std::string& events;
    };

    std::string events;
    {
        kernel core;
        for (const auto& [name, needs] : std::map<std::string, std::vector<std::string>>{
                 {"a", {"c"}}, {"b", {}}, {"c", {"b"}}}) {
            auto make = [name = name, &events](const resolved_services&) {
                return std::make_shared<mourner>(name, events);
            };
            BOOST_TEST(core.add(name, needs, make).has_value());
        }
        BOOST_TEST(core.start().has_value());
    }
    BOOST_TEST(events == "acb");
}

BOOST_AUTO_TEST_CASE(a_missing_dependency_is_named)
{
    std::string events;
    kernel core;
    BOOST_TEST(core.add("a", {"ghost"}, make_recorder("a", events)).has_value());
    const auto started = core.start();
    BOOST_TEST(!started.has_value());
    BOOST_TEST(started.error().to_string() == "resolve service (ghost): not found: wanted by a");
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(a_cycle_is_named)
{
    std::string events;
    kernel core;
    BOOST_TEST(core.add("a", {"b"}, make_recorder("a", events)).has_value());
    BOOST_TEST(core.add("b", {"a"}, make_recorder("b", events)).has_value());
    const auto started = core.start();
    BOOST_TEST(!started.has_value());
    BOOST_TEST(started.error().detail == "cycle a -> b -> a");
}

BOOST_AUTO_TEST_CASE(a_name_is_registered_once)
{
    std::string events;
    kernel core;
    BOOST_TEST(core.add("a", {}, make_recorder("a", events)).has_value());
    BOOST_TEST(!core.add("a", {}, make_recorder("a", events)).has_value());
}

BOOST_AUTO_TEST_CASE(an_undeclared_dependency_cannot_be_used)
{
    kernel core;
    std::string events;
    BOOST_TEST(core.add("a", {}, make_recorder("a", events)).has_value());
    BOOST_TEST(core.add("b", {},
                        [](const resolved_services& services) -> std::shared_ptr<service> {
                            static_cast<void>(services.get<recorder>("a"));
                            return nullptr;
                        })
                   .has_value());
    BOOST_CHECK_THROW(static_cast<void>(core.start()), std::logic_error);
}

} // namespace eelgrassbend
