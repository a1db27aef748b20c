#include "gateway/gateway-fixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr std::size_t requests = 20;
constexpr std::size_t maxForwarded = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_held_up)

// Guards against forwarding the requests of callers that disconnected while the gateway was stalled
// and had not yet read them.
BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_in_a_hold_up_is_not_sent_on)
{
    asio::io_context loop(1);
    ScriptedUpstream upstream(loop, "one", answersWith("served"));
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), {upstream.entry("pool")});
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t number = 0; number < requests; ++number) {
        callers.push_back(std::make_unique<Caller>(loop, gateway.settings.callers));
        callers.back()->send(testing::requestText("/safe/a", "r" + std::to_string(number)));
        callers.back()->disconnect();
    }
    std::this_thread::sleep_for(2s);
    runFor(loop, 500ms);
    BOOST_TEST(upstream.requests().size() <= maxForwarded);
}

BOOST_AUTO_TEST_SUITE_END()
