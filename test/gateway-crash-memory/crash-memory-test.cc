// What is known of requests that crash upstreams when routers end and start again.
#include "gateway/gateway-fixture.h"
#include "gateway/peer-fleet.h"

#include "applehatch/direct/crash-suspects.h"
#include "applehatch/telemetry/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace applehatch;
using namespace applehatch::gateway;
using namespace applehatch::gateway::testing;

constexpr direct::Fingerprint crashing = 7;
constexpr auto crashLimit = direct::CrashSuspects::crashLimit;
/// Within this time all routers know of a crash.
constexpr Duration propagationLimit = 3s;
constexpr Duration pauseBetweenCrashes = 1500ms;
constexpr Duration restartTime = 500ms;

/// Routers that report crashes to one another and all end at the same moment now and then.
class ForgetfulFleet
{
public:
    ForgetfulFleet(std::size_t size, std::uint32_t seed)
        : peers_(size, seed,
                 {[this](std::size_t router, PeerDigest &digest) {
                      if (!digest.brief)
                          digest.crashes = suspects_[router].nextReports(peers_.now);
                  },
                  [this](std::size_t router, const PeerDigest &digest) {
                      for (const auto &report : digest.crashes)
                          suspects_[router].notePeer(report, peers_.now);
                  }})
    {
        loseAllRouters();
    }

    /// Ends all routers and starts them anew; nothing that they knew is left.
    auto loseAllRouters() -> void
    {
        for (std::size_t router = 0; router < peers_.size(); ++router)
            peers_.silence(router);
        peers_.runFor(restartTime);
        suspects_.assign(peers_.size(), startedAt(peers_.now));
        for (std::size_t router = 0; router < peers_.size(); ++router)
            peers_.silence(router, false);
    }

    /// The request comes to one router after another until all of them refuse it, and crashes an
    /// upstream wherever it is not refused. Returns how many it crashed.
    auto crashUntilRefused() -> std::size_t
    {
        std::size_t crashes = 0;
        for (std::size_t visits = 0; visits < 2 * crashLimit; ++visits) {
            router_ = (router_ + peers_.size() / 2 + 1) % peers_.size();
            if (!suspects_[router_].isSuspect(crashing, peers_.now)) {
                suspects_[router_].noteBreak(crashing, ++upstream_, peers_.now);
                ++crashes;
            }
            peers_.runFor(pauseBetweenCrashes);
        }
        peers_.runFor(propagationLimit);
        const auto refuses = [this](const auto &router) {
            return router.isSuspect(crashing, peers_.now);
        };
        BOOST_TEST(std::all_of(suspects_.begin(), suspects_.end(), refuses));
        return crashes;
    }

    auto runFor(Duration time) -> void { peers_.runFor(time); }

private:
    static auto startedAt(Instant now) -> direct::CrashSuspects
    {
        return direct::CrashSuspects(now);
    }

    std::vector<direct::CrashSuspects> suspects_;
    PeerFleet peers_;
    std::size_t router_ = 0;
    direct::UpstreamId upstream_ = 0;
};

/// Upstreams that crash 50 ms after they begin to run a request whose body is `crash`.
class CrashingPool
{
public:
    explicit CrashingPool(asio::io_context &loop, int size)
    {
        for (int i = 0; i < size; ++i) {
            upstreams_.emplace_back(loop, "upstream-" + std::to_string(i),
                                    [this, i](auto &connection, const std::string &request) {
                                        answer(connection, request, i);
                                    });
        }
    }

    [[nodiscard]] auto entries() const -> direct::UpstreamList
    {
        direct::UpstreamList entries;
        for (const auto &upstream : upstreams_)
            entries.push_back(upstream.entry("pool"));
        return entries;
    }

    int runs = 0; ///< Runs of crashing requests.

private:
    auto answer(ScriptedConnection &connection, const std::string &request, int upstream) -> void
    {
        if (!request.ends_with("crash"))
            return connection.send(streamHead(request) + eventChunk(1) + std::string(lastChunk));
        ++runs;
        std::next(upstreams_.begin(), upstream)->closeListener();
        connection.sendThenReset(streamHead(request));
    }

    std::list<ScriptedUpstream> upstreams_;
};

/// Fingerprint of the requests of `sendCopies`.
const auto crashFingerprint = core::stableHash("POST /stream/a\nacme\n\ncrash");

/// Sends copies of one request at the same moment and waits for the end of their answers.
auto sendCopies(asio::io_context &loop, Gateway &gateway, int copies) -> std::vector<std::string>
{
    std::list<Caller> callers;
    for (int i = 0; i < copies; ++i) {
        callers.emplace_back(loop, gateway.settings.callers);
        callers.back().send(testing::requestText("/stream/a", "copy-" + std::to_string(i),
                                                 "Connection: close\r\n", "crash"));
    }
    std::vector<std::string> answers;
    for (auto &caller : callers) {
        BOOST_TEST(caller.seesClose());
        answers.push_back(caller.received);
    }
    return answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_crash_memory)

// Guards against three more crashes each time that all routers end.
BOOST_AUTO_TEST_CASE(a_fleet_that_has_just_lost_its_memory_refuses_after_two_crashes)
{
    for (const std::size_t size : {3, 30, 390}) {
        ForgetfulFleet fleet(size, 1);
        for (int losses = 0; losses < 2; ++losses) {
            fleet.loseAllRouters();
            BOOST_TEST(fleet.crashUntilRefused() == 2U);
        }
    }
}

// Guards against refusing innocent requests after two crashes in a fleet that forgot nothing.
BOOST_AUTO_TEST_CASE(a_fleet_that_lost_nothing_for_long_refuses_after_three)
{
    ForgetfulFleet fleet(5, 1);
    fleet.runFor(std::chrono::minutes(1));
    BOOST_TEST(fleet.crashUntilRefused() == crashLimit);
}

// Guards against crashes through a router that starts and is told only by and by.
BOOST_AUTO_TEST_CASE(a_router_that_starts_learns_all_crashes_from_a_peer)
{
    constexpr direct::Fingerprint requests = 200;
    asio::io_context loop{1};
    Gateway first(loop);
    first.applyRegistry(testConfiguration(), {});
    auto &known = first.host.dispatcher().suspects();
    for (direct::Fingerprint request = 1; request <= requests; ++request) {
        for (direct::UpstreamId upstream = 1; upstream <= crashLimit; ++upstream)
            known.noteBreak(request, upstream, telemetry::steadyNow());
    }
    loop.run_for(1s);
    Gateway second(loop, {first.settings.peers});
    auto &learned = second.host.dispatcher().suspects();
    const auto knowsAll = [&] {
        const auto at = telemetry::steadyNow();
        for (direct::Fingerprint request = 1; request <= requests; ++request) {
            if (!learned.isSuspect(request, at))
                return false;
        }
        return true;
    };
    // By the digests alone it takes 15 s: 600 reports, eight of them each 200 ms.
    BOOST_TEST(runUntil(loop, knowsAll, 8s));
}

// Guards against a crash that is known to one router alone until its turn in a digest comes.
BOOST_AUTO_TEST_CASE(a_crash_is_told_to_its_keepers_at_once)
{
    asio::io_context loop{1};
    CrashingPool pool(loop, 4);
    Gateway first(loop);
    Gateway second(loop, {first.settings.peers});
    first.applyRegistry(testConfiguration(), pool.entries());
    const auto peersKnown = [&] {
        return scrape(loop, first).find("applehatch_peers 1") != std::string::npos;
    };
    BOOST_REQUIRE(runUntil(loop, peersKnown));
    sendCopies(loop, first, 1);
    BOOST_TEST(pool.runs == 1);
    // Digests report the newest first, eight at a time, and each of them for 2 s.
    for (direct::Fingerprint request = 1; request <= 1000; ++request)
        first.host.dispatcher().suspects().noteBreak(request, 1, telemetry::steadyNow());
    const auto &learned = second.host.dispatcher().suspects();
    const auto isTold = [&] {
        return learned.crashes(crashFingerprint, telemetry::steadyNow()) == 1;
    };
    BOOST_TEST(runUntil(loop, isTold, 5s));
}

// Guards against upstreams that crash at the same moment under copies of one request.
BOOST_AUTO_TEST_CASE(copies_of_a_request_that_crashed_an_upstream_run_one_at_a_time)
{
    asio::io_context loop{1};
    CrashingPool pool(loop, 8);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), pool.entries());
    sendCopies(loop, gateway, 1);
    BOOST_TEST(pool.runs == 1);
    const auto answers = sendCopies(loop, gateway, 3);
    BOOST_TEST(pool.runs == 2);
    const auto refused = std::count_if(answers.begin(), answers.end(), [](const auto &answer) {
        return answer.starts_with("HTTP/1.1 503") && !headerOf(answer, "Retry-After").empty();
    });
    BOOST_TEST(refused == 2);
}

// Guards against refusing copies of a common request for minutes because it shared one crash.
BOOST_AUTO_TEST_CASE(copies_of_a_request_that_was_served_again_run_side_by_side)
{
    asio::io_context loop{1};
    CrashingPool pool(loop, 4);
    Gateway gateway(loop);
    gateway.applyRegistry(testConfiguration(), pool.entries());
    auto &suspects = gateway.host.dispatcher().suspects();
    suspects.noteBreak(crashFingerprint, 1, telemetry::steadyNow());
    for (std::uint32_t i = 0; i < direct::CrashSuspects::servesToTrust; ++i)
        suspects.noteServed(crashFingerprint, telemetry::steadyNow());
    sendCopies(loop, gateway, 3);
    BOOST_TEST(pool.runs == 3);
}

BOOST_AUTO_TEST_SUITE_END()
