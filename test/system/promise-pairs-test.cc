#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::CallerConnection;
using experiment::eventually;
using experiment::FleetMember;

constexpr std::size_t engines = 4;
constexpr std::size_t answersUnderFaults = 25;
constexpr std::size_t tokensAtKill = 60;
constexpr std::size_t openAtKill = 2; ///< Of the three callers that stream through each router.

/// A failure that begins at one member, shows that it did, and ends.
struct Fault
{
    const char *name;
    std::function<void(Fleet &, FleetMember &)> begin;
    std::function<bool(Fleet &, FleetMember &)> happened;
    std::function<void(Fleet &, FleetMember &)> end;
};

auto faults() -> const std::vector<Fault> &
{
    static const std::vector<Fault> all = {
        {"kill", [](Fleet &, FleetMember &member) { member.sidecar->kill(); },
         [](Fleet &, FleetMember &member) { return !member.sidecar->running(); },
         [](Fleet &fleet, FleetMember &member) { fleet.startSidecar(member); }},
        {"pause", [](Fleet &, FleetMember &member) { member.sidecar->pause(); },
         [](Fleet &, FleetMember &member) {
             return experiment::get(member.admin, "/health/live", 200ms).status == 0;
         },
         [](Fleet &, FleetMember &member) { member.sidecar->resume(); }},
        {"cut", [](Fleet &, FleetMember &member) { member.linkRelay->setPartitioned(true); },
         [](Fleet &, FleetMember &member) {
             auto probe = experiment::Socket::connect(member.linkRelay->address());
             return !probe.valid() || probe.receive() == std::optional<std::string>("");
         },
         [](Fleet &, FleetMember &member) { member.linkRelay->setPartitioned(false); }},
        {"settings outage",
         [](Fleet &fleet, FleetMember &) {
             fleet.platform().setDown(emulator::Service::Settings, true);
             fleet.platform().setDown(emulator::Service::HostList, true);
         },
         [](Fleet &fleet, FleetMember &) {
             return experiment::get(fleet.platform().address(), "/v1/hosts").status == 0;
         },
         [](Fleet &fleet, FleetMember &) {
             fleet.platform().setDown(emulator::Service::Settings, false);
             fleet.platform().setDown(emulator::Service::HostList, false);
         }},
    };
    return all;
}

auto routerKilled() -> const Fault &
{
    static const Fault fault = {
        "kill router", [](Fleet &fleet, FleetMember &) { fleet.router(0).process->kill(); },
        [](Fleet &fleet, FleetMember &) { return !fleet.router(0).process->running(); },
        [](Fleet &fleet, FleetMember &) { fleet.startRouter(fleet.router(0)); }};
    return fault;
}

auto resumeAt(const core::Address &router, const std::string &lastEventId) -> CallerAnswer
{
    CallerRequest rest;
    rest.method = "GET";
    rest.path = "/v1/answers";
    rest.headers = {{"Applehatch-Customer", std::string(Fleet::team) + "/branch-east"},
                    {"Last-Event-ID", lastEventId}};
    return experiment::call(router, rest, answerLimit);
}

/// A caller that reaches nobody is sent to the other router by the balancer. Its first attempt may
/// have run, so that what the second one says of running counts for that one alone.
auto askTheOther(Fleet &fleet, std::size_t router, const CallerRequest &request) -> CallerAnswer
{
    auto answer = experiment::call(fleet.router(1 - router).callers, request, answerLimit);
    return answer.problem().is_null() ? answer : CallerAnswer();
}

/// Streams that broke with their router, and what became of each. Thread-safe.
class BrokenStreams
{
public:
    /// A caller whose stream breaks comes back at the other router with the last id it saw.
    auto resuming(Fleet &fleet) -> Traffic::Ask
    {
        return [this, &fleet](std::size_t router, const CallerRequest &request) {
            CallerConnection connection(fleet.router(router).callers, request);
            const auto answer = read(connection, router);
            if (answer.status == 0) {
                return askTheOther(fleet, router, request);
            }
            return answer.framed || !answer.problem().is_null()
                ? answer
                : resume(fleet.router(1 - router).callers, request, answer);
        };
    }

    /// Streams through `router` that can be resumed and have at least half of their way to go.
    [[nodiscard]] auto open(std::size_t router) const -> std::size_t { return open_.at(router); }

    /// Those that became whole at the other router.
    [[nodiscard]] auto resumed() const -> std::size_t { return resumed_; }

    /// How often each end was met.
    [[nodiscard]] auto ends() const -> std::map<std::string, std::size_t>
    {
        const std::lock_guard lock(mutex_);
        return ends_;
    }

private:
    auto read(CallerConnection &connection, std::size_t router) -> CallerAnswer
    {
        const auto hasEvent = [](const CallerAnswer &answer) {
            return !answer.lastEventId().empty();
        };
        const auto isHalfWay = [](const CallerAnswer &answer) {
            return answer.events().size() > tokensAtKill / 2;
        };
        if (hasEvent(connection.read(hasEvent, answerLimit))) {
            ++open_.at(router);
            connection.read(isHalfWay, answerLimit);
            --open_.at(router);
        }
        return connection.read({}, answerLimit);
    }

    auto resume(const core::Address &router, const CallerRequest &request, CallerAnswer answer)
        -> CallerAnswer
    {
        const auto lastEventId = answer.lastEventId();
        if (lastEventId.empty()) {
            count("without an event");
            return {};
        }
        auto rest = resumeAt(router, lastEventId);
        if (rest.status != 200) {
            count("refused with status " + std::to_string(rest.status) + ": " + rest.problemKind());
            return rest;
        }
        if (!rest.framed && rest.problem().is_null()) {
            count("broken again");
            return {};
        }
        answer.body.erase(answer.body.rfind("\n\n") + 2);
        answer.body += rest.body;
        answer.framed = rest.framed;
        const auto whole = isWholeAndOwn(request, answer);
        resumed_ += whole ? 1U : 0U;
        count(whole ? "whole after it was resumed"
                    : "not whole after it was resumed: " + answer.problemKind());
        return answer;
    }

    auto count(const std::string &end) -> void
    {
        const std::lock_guard lock(mutex_);
        ++ends_[end];
    }

    std::array<std::atomic<std::size_t>, 2> open_{};
    std::atomic<std::size_t> resumed_{0};
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> ends_;
};

auto requestOf(Fleet &fleet, std::size_t tokens = 20) -> Traffic::Request
{
    return [&fleet, tokens](std::size_t caller, std::size_t turn) {
        const auto mark = std::to_string(caller) + "/" + std::to_string(turn);
        const auto keyed = with(fleet.job(mark), "Idempotency-Key", mark);
        return caller % 4 == 3 ? with(keyed, "Applehatch-First-Send", "true")
                               : fleet.chat(mark, tokens, caller % 2 == 0);
    };
}

auto pairsFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = engines;
    options.services = 2;
    options.routers = 2;
    options.tokensPerSecond = 100;
    options.relays = true;
    options.pool = {{"loadMultiple", 10.0}};
    return options;
}

/// Both failures at once at an engine and at a service, until enough callers have a whole answer
/// under them.
auto runPair(Fleet &fleet, const History &history, const Fault &first, const Fault &second) -> void
{
    auto &one = fleet.engine(0);
    auto &other = fleet.service(0);
    const auto before = history.whole();
    first.begin(fleet, one);
    second.begin(fleet, other);
    BOOST_TEST_CONTEXT(first.name << " with " << second.name)
    {
        BOOST_TEST(eventually([&] { return first.happened(fleet, one); }));
        BOOST_TEST(eventually([&] { return second.happened(fleet, other); }));
        BOOST_TEST(eventually([&] { return history.whole() >= before + answersUnderFaults; }));
    }
    first.end(fleet, one);
    second.end(fleet, other);
    fleet.waitReady();
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_pairs)

// Two things go wrong in the same second. Each caller gets its whole answer or is told plainly
// that it does not, and what may run once does not run twice.
BOOST_AUTO_TEST_CASE(two_failures_at_once_break_no_promise)
{
    Fleet fleet(pairsFleet());
    Traffic traffic(fleet, requestOf(fleet),
                    [](std::size_t caller, std::size_t turn) { return (caller + turn) % 2; });
    traffic.add(12);
    for (std::size_t first = 0; first < faults().size(); ++first) {
        for (auto second = first + 1; second < faults().size(); ++second) {
            runPair(fleet, traffic.history(), faults()[first], faults()[second]);
        }
    }
    expectPromisesKept(fleet, traffic);
}

// The same failure strikes an engine's and a service's sidecar in the same second. No promise may
// hang on one of the two being whole.
BOOST_AUTO_TEST_CASE(the_same_failure_twice_at_once_breaks_no_promise)
{
    Fleet fleet(pairsFleet());
    Traffic traffic(fleet, requestOf(fleet),
                    [](std::size_t caller, std::size_t turn) { return (caller + turn) % 2; });
    traffic.add(12);
    for (const auto &fault : faults()) {
        runPair(fleet, traffic.history(), fault, fault);
    }
    expectPromisesKept(fleet, traffic);
}

// An entry host loses power while a sidecar stalls, is cut off or the settings cannot be read. Its
// callers come back at the other router and must get exactly the rest of their answers.
BOOST_AUTO_TEST_CASE(a_killed_router_beside_another_failure_breaks_no_promise)
{
    Fleet fleet(pairsFleet());
    BrokenStreams broken;
    Traffic traffic(
        fleet, requestOf(fleet, tokensAtKill),
        [](std::size_t caller, std::size_t /*turn*/) { return caller / 2 % 2; },
        broken.resuming(fleet));
    traffic.add(12);
    for (const auto &fault : faults()) {
        const auto before = broken.resumed();
        const auto whole = traffic.history().whole() + answersUnderFaults;
        BOOST_TEST(eventually(
            [&] { return traffic.history().whole() >= whole && broken.open(0) >= openAtKill; }));
        BOOST_TEST_MESSAGE(broken.open(0) << " streams open at the kill beside " << fault.name);
        runPair(fleet, traffic.history(), routerKilled(), fault);
        BOOST_TEST(eventually([&] { return broken.resumed() > before; }), fault.name);
    }
    expectPromisesKept(fleet, traffic);
    for (const auto &[end, count] : broken.ends()) {
        BOOST_TEST_MESSAGE(count << " broken streams " << end);
    }
}

BOOST_AUTO_TEST_SUITE_END()
