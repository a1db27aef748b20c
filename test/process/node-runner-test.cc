#include "applehatch/process/node-runner.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace applehatch::process {

namespace {

// Numbers the events and returns two actions per event, 2n and 2n + 1 for event n.
class CountingNode
{
public:
    auto handle(int /*event*/, core::Instant /*now*/) -> std::vector<int>
    {
        ++count_;
        return {2 * count_, 2 * count_ + 1};
    }

    [[nodiscard]] auto count() const -> int { return count_; }

private:
    int count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(node_runner)

// Several threads submit events concurrently and one stalls between the node's decision and the
// actions. If a later decision were performed first, a request could be sent after its own
// revocation and run although its caller was told that it did not.
BOOST_AUTO_TEST_CASE(actions_are_performed_in_the_order_of_the_decisions)
{
    constexpr int threads = 8;
    constexpr int events = 2000;
    std::vector<int> performed;
    std::atomic<int> acting{0};
    std::atomic<bool> overlapped{false};
    NodeRunner<CountingNode, int, int> runner([&](int &action) {
        if (++acting != 1)
            overlapped = true;
        performed.push_back(action);
        --acting;
    });
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int thread = 0; thread < threads; ++thread) {
            workers.emplace_back([&] {
                for (int event = 0; event < events; ++event)
                    runner.handle(event);
            });
        }
    }
    BOOST_TEST(!overlapped);
    BOOST_REQUIRE_EQUAL(performed.size(), 2U * threads * events);
    for (std::size_t index = 0; index < performed.size(); ++index)
        BOOST_REQUIRE_EQUAL(performed[index], static_cast<int>(index) + 2);
    BOOST_TEST(runner.read([](const CountingNode &node) { return node.count(); })
               == threads * events);
}

BOOST_AUTO_TEST_CASE(an_action_may_submit_an_event_and_another_may_be_taken)
{
    std::vector<int> performed;
    std::function<void(int)> submit;
    NodeRunner<CountingNode, int, int> runner([&](int &action) {
        performed.push_back(action);
        if (action == 3)
            submit(0);
    });
    submit = [&](int event) { runner.handle(event); };
    int taken = 0;
    runner.handle(0, [&taken](int &action) {
        if (action != 2)
            return false;
        taken = action;
        return true;
    });
    BOOST_TEST(taken == 2);
    BOOST_TEST(performed == (std::vector<int>{3, 4, 5}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::process
