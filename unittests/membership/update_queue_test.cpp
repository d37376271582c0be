#include "../../lib/membership/update_queue.h"

#include "fakes/member_cluster.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static member join_update(std::size_t index)
{
    auto record = fakes::member_cluster::place_of(index);
    record.incarnation = std::uint64_t{1'767'225'600'000} << 16U;
    return record;
}

BOOST_AUTO_TEST_CASE(joins_do_not_delay_a_death)
{
    update_queue queue;
    auto dead = join_update(0);
    dead.state = member_state::dead;
    queue.push(dead);
    for (std::size_t index = 1; index < 400; ++index) {
        queue.push(join_update(index));
    }
    for (int message = 0; message < 20; ++message) {
        BOOST_TEST(queue.take(700, 27).front().id.value() == "entry-0");
    }
}

BOOST_AUTO_TEST_CASE(each_update_is_sent_a_bounded_number_of_times)
{
    update_queue queue;
    for (std::size_t index = 0; index < 10; ++index) {
        queue.push(join_update(index));
    }
    std::size_t sent = 0;
    for (int message = 0; message < 100; ++message) {
        sent += queue.take(700, 5).size();
    }
    BOOST_TEST(sent == 50);
    BOOST_TEST(queue.size() == 0);
}

} // namespace eelgrassbend
