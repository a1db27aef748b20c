/// A few decision nodes, joined by queues that deliver late, twice, crossed or never.
#pragma once

#include "applehatch/schedule/history.h"

#include "applehatch/core/router-node.h"
#include "applehatch/core/sidecar-node.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace applehatch::schedule {

/// Which failures a schedule draws, and how often.
struct Faults
{
    double dropMessage = 0; ///< Share of messages lost on an open link.
    double doubleMessage = 0;
    core::Duration longestDelay = std::chrono::milliseconds(20);
    bool crossMessages = false; ///< Messages of one link may overtake each other.
    double perSecondCuts = 0;   ///< Link cuts a second, over the whole world.
    double perSecondPauses = 0;
    double perSecondSidecarRestarts = 0;
    double perSecondRouterRestarts = 0;
    double perSecondEngineCrashes = 0;
    double perSecondDrains = 0;
    double perSecondPartitions = 0; ///< Between two halves of the routers and sidecars.
    double poisonShare = 0;         ///< Share of model calls that crash whichever engine runs them.
    core::Duration longestCrashDelay{0}; ///< Longest run before such a crash; 0 is 30 ms always.
};

struct Shape
{
    std::uint64_t seed = 1;
    int routers = 3;
    int engines = 4;
    int services = 3;
    int calls = 60;
    core::Duration length = std::chrono::seconds(8);  ///< While calls arrive and faults happen.
    core::Duration settle = std::chrono::seconds(25); ///< Afterwards, so that all calls end.
    Faults faults;
};

/// Runs one schedule from one seed. All randomness is the seed's.
class World
{
public:
    explicit World(const Shape &shape);
    ~World();

    [[nodiscard]] auto run() -> const History &;

private:
    struct Router;
    struct Sidecar;
    struct Link;
    struct Exchange;
    using LinkPtr = std::shared_ptr<Link>;

    auto at(core::Instant when, std::function<void()> what) -> void;
    auto after(core::Duration delay, std::function<void()> what) -> void;
    auto delay() -> core::Duration;
    auto chance(double probability) -> bool;
    auto below(std::size_t limit) -> std::size_t;

    auto startRouter(Router &router) -> void;
    auto startSidecar(Sidecar &sidecar) -> void;
    auto tick() -> void;

    auto toRouter(Router &router, core::RouterEvent event) -> void;
    auto toSidecar(Sidecar &sidecar, core::SidecarEvent event) -> void;
    template <typename Process, typename Event>
    auto defer(Process &process, Event event) -> void;
    template <typename Process>
    auto wake(Process &process) -> void;
    auto take(Router &router, core::RouterEvent event) -> void;
    auto take(Sidecar &sidecar, core::SidecarEvent event) -> void;
    auto act(Router &router, core::RouterAction action) -> void;
    auto act(Sidecar &sidecar, core::SidecarAction action) -> void;

    auto openLink(Router &router, core::UpstreamId upstream) -> void;
    auto linkOpened(const LinkPtr &link) -> void;
    auto sendToSidecar(Router &router, core::UpstreamId upstream, core::Message message) -> void;
    auto sendToPeer(Sidecar &sidecar, core::LinkId link, const core::Message &message) -> void;
    auto carry(const LinkPtr &link, bool towardsSidecar, const core::Message &message) -> void;
    auto deliver(const LinkPtr &link, bool towardsSidecar, const core::Message &message) -> void;
    static auto noteSubmit(Sidecar &sidecar, const std::string &body) -> void;
    auto cut(LinkPtr link, bool tellRouter, bool tellSidecar) -> void;

    auto startRun(Sidecar &sidecar, const core::StartRun &start) -> void;
    auto playEvents(Sidecar &sidecar, core::RunId run, const std::string &engineRequest,
                    std::uint64_t from) -> void;
    auto timeToCrash() -> core::Duration;
    auto crashEngine(Sidecar &sidecar) -> void;
    auto report(Sidecar &sidecar) -> void;

    auto newCall() -> void;
    auto send(std::size_t call, bool firstSend) -> void;
    auto resume(std::size_t answer) -> void;
    auto open(std::size_t call, Router &router) -> std::string;
    auto received(const core::AnswerChunk &chunk) -> void;
    auto finish(const std::string &request, std::optional<core::Failure> failure) -> void;

    auto scheduleFaults() -> void;
    auto repeat(double perSecond, const std::function<void()> &fault) -> void;
    auto beginPartition() -> void;
    template <typename Left, typename Right>
    [[nodiscard]] auto isApart(const Left &left, const Right &right) const -> bool;
    auto restartRouter(Router &router) -> void;
    auto restartSidecar(Sidecar &sidecar) -> void;

    struct Scheduled
    {
        core::Instant when;
        std::uint64_t sequence;
        std::function<void()> what;

        auto operator>(const Scheduled &other) const -> bool
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };

    Shape shape_;
    core::Random random_;
    core::Instant now_{};
    std::uint64_t sequence_ = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
    core::SettingsPtr settings_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::map<core::UpstreamId, std::unique_ptr<Sidecar>> sidecars_;
    std::vector<core::UpstreamId> upstreams_;
    std::map<core::LinkId, LinkPtr> links_;
    core::LinkId lastLink_ = 0;
    bool apart_ = false; ///< While the two halves of the world cannot reach each other.
    std::uint64_t lastRequest_ = 0;
    std::map<std::string, Exchange> exchanges_;
    std::map<std::string, std::set<const Sidecar *>> crashing_; ///< Engines that run such a call.
    History history_;
};

} // namespace applehatch::schedule
