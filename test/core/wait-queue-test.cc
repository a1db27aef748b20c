#include "applehatch/core/wait-queue.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace {

using namespace applehatch::core;
using namespace std::chrono_literals;
using applehatch::settings::QueueOrder;

auto waiting(std::uint64_t id, const std::string &customer, double weight, int priority,
             Duration deadline) -> Waiting
{
    return {id, customer, weight, priority, Instant{deadline}, Instant{}};
}

auto drain(WaitQueue &queue) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> order;
    while (const auto id = queue.pop())
        order.push_back(*id);
    return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wait_queue)

BOOST_AUTO_TEST_CASE(order_within_one_customer)
{
    struct Row
    {
        QueueOrder order;
        std::vector<std::uint64_t> expected;
    };
    const std::vector<Row> rows = {{QueueOrder::FirstCome, {3, 1, 2, 4}},
                                   {QueueOrder::EarliestDeadline, {3, 2, 4, 1}},
                                   {QueueOrder::DeadlineWithRefusal, {3, 2, 4, 1}}};
    for (const auto &row : rows) {
        WaitQueue queue;
        queue.push(waiting(1, "a", 1, 0, 9s), row.order);
        queue.push(waiting(2, "a", 1, 0, 1s), row.order);
        queue.push(waiting(3, "a", 1, 5, 20s), row.order);
        queue.push(waiting(4, "a", 1, 0, 1s), row.order);
        BOOST_TEST(drain(queue) == row.expected, boost::test_tools::per_element());
    }
}

// One customer sends a surge of requests. The few requests of other customers must not wait behind
// them.
BOOST_AUTO_TEST_CASE(surging_customer_waits_behind_its_own_requests)
{
    WaitQueue queue;
    for (std::uint64_t id = 0; id < 40; ++id)
        queue.push(waiting(id, "surge", 1, 0, 1s), QueueOrder::EarliestDeadline);
    queue.push(waiting(100, "small", 1, 0, 9s), QueueOrder::EarliestDeadline);
    BOOST_TEST(queue.countAhead(waiting(101, "small", 1, 0, 10s)) <= 3.0);
    BOOST_TEST(queue.countAhead(waiting(101, "surge", 1, 0, 10s)) >= 40.0);
    const auto order = drain(queue);
    const auto place = std::find(order.begin(), order.end(), 100U) - order.begin();
    BOOST_TEST(place <= 1);
}

BOOST_AUTO_TEST_CASE(shares_follow_weights)
{
    WaitQueue queue;
    for (std::uint64_t id = 0; id < 30; ++id) {
        queue.push(waiting(id, "heavy", 3, 0, 1s), QueueOrder::FirstCome);
        queue.push(waiting(100 + id, "light", 1, 0, 1s), QueueOrder::FirstCome);
    }
    int heavy = 0;
    for (int taken = 0; taken < 20; ++taken)
        heavy += *queue.pop() < 100 ? 1 : 0;
    BOOST_TEST(heavy == 15);
    BOOST_TEST(queue.erase(129));
    BOOST_TEST(!queue.erase(129));
    BOOST_TEST(queue.size() == 39U);
    BOOST_TEST(queue.all().size() == 39U);
}

BOOST_AUTO_TEST_SUITE_END()
