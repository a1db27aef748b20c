#include "measures-churn.h"

#include "applehatch/emulator/upstream-server.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <random>
#include <stdexcept>

namespace applehatch::experiment {

namespace {

using core::HostState;
using std::chrono::milliseconds;

constexpr auto forGood = std::numeric_limits<std::int64_t>::max();
constexpr milliseconds listLag{700};    ///< Between one router's host list and the next.
constexpr milliseconds differFor{3000}; ///< Lists name an engine as leaving that is not.
constexpr milliseconds flapPeriod{500};
constexpr int flaps = 3;
constexpr milliseconds restartPause{500};
constexpr milliseconds crashPause{2000};
constexpr milliseconds drainLimit{25000};

auto pause(milliseconds time) -> void
{
    std::this_thread::sleep_for(time);
}

} // namespace

auto churnKinds() -> const std::map<std::string, ChurnKind> &
{
    static const std::map<std::string, ChurnKind> kinds = {
        {"leave-and-join", ChurnKind::LeaveAndJoin},
        {"restart-sidecar", ChurnKind::RestartSidecar},
        {"crash-engine", ChurnKind::CrashEngine},
        {"differ-host-lists", ChurnKind::DifferHostLists},
        {"flap-host-lists", ChurnKind::FlapHostLists},
    };
    return kinds;
}

auto usualChurn() -> std::vector<ChurnStep>
{
    return {{0.15, ChurnKind::LeaveAndJoin},    {0.25, ChurnKind::RestartSidecar},
            {0.30, ChurnKind::DifferHostLists}, {0.40, ChurnKind::FlapHostLists},
            {0.50, ChurnKind::RestartSidecar},  {0.55, ChurnKind::CrashEngine},
            {0.60, ChurnKind::LeaveAndJoin},    {0.70, ChurnKind::DifferHostLists},
            {0.75, ChurnKind::RestartSidecar},  {0.80, ChurnKind::FlapHostLists}};
}

Churn::Churn(Fleet &fleet, std::vector<ChurnStep> steps, milliseconds length, std::uint64_t seed)
    : fleet_(fleet)
    , steps_(std::move(steps))
    , length_(length)
{
    for (const auto &member : fleet.members()) {
        if (member.pool == Fleet::enginePool) {
            order_.push_back(order_.size());
            spans_[member.name].push_back({0, forGood});
        }
    }
    std::mt19937_64 random(seed);
    std::shuffle(order_.begin(), order_.end(), random);
}

auto Churn::start() -> void
{
    begin_ = Clock::now();
    for (std::size_t place = 0; place < steps_.size(); ++place) {
        at(steps_[place].at, place, actionOf(steps_[place].kind));
    }
}

auto Churn::actionOf(ChurnKind kind) -> Action
{
    switch (kind) {
    case ChurnKind::LeaveAndJoin:
        return &Churn::leaveAndJoin;
    case ChurnKind::RestartSidecar:
        return &Churn::restartSidecar;
    case ChurnKind::CrashEngine:
        return &Churn::crashEngine;
    case ChurnKind::DifferHostLists:
        return &Churn::differHostLists;
    case ChurnKind::FlapHostLists:
        return &Churn::flapHostLists;
    }
    throw std::logic_error("no such kind of churn");
}

auto Churn::finish() -> LiveSpans
{
    actions_.clear();
    return spans_;
}

auto Churn::at(double share, std::size_t place, Action action) -> void
{
    const auto delay =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(length_.count()) * share));
    auto &member = fleet_.engine(order_.at(place));
    actions_.emplace_back([this, action, &member, until = begin_ + delay] {
        std::this_thread::sleep_until(until);
        (this->*action)(member);
    });
}

// A planned stop: the lists say so, one router's after the other, then the sidecar drains.
auto Churn::leaveAndJoin(FleetMember &member) -> void
{
    setLive(member, false);
    fleet_.platform().setHost(member.ip, HostState::Leaving);
    for (auto &router : fleet_.routers()) {
        router.hostList->setHost(member.ip, HostState::Leaving);
        pause(listLag);
    }
    member.sidecar->terminate();
    (void)member.sidecar->wait(drainLimit);
    member.upstream->terminate();
    (void)member.upstream->wait();
    fleet_.startUpstream(member);
    fleet_.platform().setHost(member.ip, HostState::Live);
    fleet_.startSidecar(member);
    for (auto &router : fleet_.routers()) {
        router.hostList->setHost(member.ip, HostState::Live);
        pause(listLag / 2);
    }
    awaitReady(member);
}

// The engine and its contexts stay; for a moment nobody can reach them.
auto Churn::restartSidecar(FleetMember &member) -> void
{
    setLive(member, false);
    member.sidecar->kill();
    pause(restartPause);
    fleet_.startSidecar(member);
    awaitReady(member);
}

auto Churn::crashEngine(FleetMember &member) -> void
{
    setLive(member, false);
    member.upstream->kill();
    pause(crashPause);
    fleet_.startUpstream(member);
    awaitReady(member);
}

// Half of the routers are told that an engine leaves which goes on.
auto Churn::differHostLists(FleetMember &member) -> void
{
    auto &routers = fleet_.routers();
    for (std::size_t number = 0; number < routers.size(); number += 2) {
        routers[number].hostList->setHost(member.ip, HostState::Leaving);
    }
    pause(differFor);
    for (std::size_t number = 0; number < routers.size(); number += 2) {
        routers[number].hostList->setHost(member.ip, HostState::Live);
    }
}

auto Churn::flapHostLists(FleetMember &member) -> void
{
    for (int flap = 0; flap < flaps; ++flap) {
        for (auto &router : fleet_.routers()) {
            router.hostList->setHost(member.ip, HostState::Leaving);
        }
        pause(flapPeriod);
        for (auto &router : fleet_.routers()) {
            router.hostList->setHost(member.ip, HostState::Live);
        }
        pause(flapPeriod);
    }
}

auto Churn::setLive(const FleetMember &member, bool live) -> void
{
    const auto now = emulator::clockMs(Clock::now());
    const std::lock_guard lock(mutex_);
    auto &spans = spans_[member.name];
    if (live) {
        spans.push_back({now, forGood});
    } else {
        spans.back().untilMs = now;
    }
}

auto Churn::awaitReady(FleetMember &member) -> void
{
    const auto ready = [&] {
        return get(member.admin, "/health/ready", milliseconds(1000)).status == 200;
    };
    if (eventually(ready)) {
        setLive(member, true);
    }
}

} // namespace applehatch::experiment
