#include "world-impl.h"

#include <algorithm>

namespace applehatch::schedule {

namespace {

using namespace std::chrono_literals;

constexpr auto tickPeriod = 50ms;
constexpr auto reportPeriod = 500ms;
constexpr std::uint32_t slotsEach = 4;

auto member(const std::string &team, const std::string &pool, int number) -> settings::Member
{
    settings::Member member;
    member.name = "up-" + std::to_string(number);
    member.id = settings::upstreamId(team, pool, member.name);
    member.dataCenter = number % 2 == 0 ? "north" : "south";
    member.slots = slotsEach;
    member.sidecar = {"127.0.1." + std::to_string(number + 1), 7000};
    return member;
}

auto pool(const std::string &name, settings::PoolKind kind, int members) -> settings::Pool
{
    settings::Pool pool;
    pool.team = "team";
    pool.name = name;
    pool.kind = kind;
    pool.defaultDeadline = 10s;
    pool.resendWindow = 60s;
    pool.loadMultiple = 2.0;
    if (kind == settings::PoolKind::Model)
        pool.models = {"model"};
    else
        pool.pathPrefix = "/jobs";
    for (auto i = 0; i < members; ++i)
        pool.members.push_back(member(pool.team, name, i));
    return pool;
}

auto makeSettings(const Shape &shape) -> core::SettingsPtr
{
    settings::Team team;
    team.name = "team";
    team.index = 1;
    team.pools["engines"] = pool("engines", settings::PoolKind::Model, shape.engines);
    team.pools["jobs"] = pool("jobs", settings::PoolKind::Service, shape.services);
    team.customers["customer"] = {"customer", 1.0, 0};
    settings::Settings settings;
    settings.index = 1;
    settings.teams["team"] = std::make_shared<const settings::Team>(std::move(team));
    return std::make_shared<const settings::Settings>(std::move(settings));
}

} // namespace

World::World(const Shape &shape)
    : shape_(shape)
    , random_(shape.seed)
    , settings_(makeSettings(shape))
{
    for (const auto &[name, pool] : settings_->teams.at("team")->pools) {
        for (const auto &member : pool.members) {
            auto sidecar = std::make_unique<Sidecar>();
            sidecar->identity = {"team", name, member.name, member.dataCenter, 0, random_()};
            sidecar->clockOffset = std::chrono::seconds(below(1000));
            sidecar->model = pool.kind == settings::PoolKind::Model;
            sidecar->side = upstreams_.size() % 2;
            upstreams_.push_back(member.id);
            sidecars_[member.id] = std::move(sidecar);
        }
    }
    for (auto i = 0; i < shape.routers; ++i) {
        auto router = std::make_unique<Router>();
        router->identity = {"router-" + std::to_string(i), "north", random_()};
        router->clockOffset = std::chrono::seconds(below(1000));
        router->side = routers_.size() % 2;
        routers_.push_back(std::move(router));
    }
}

World::~World() = default;

auto World::at(core::Instant when, std::function<void()> what) -> void
{
    queue_.push({when, ++sequence_, std::move(what)});
}

auto World::after(core::Duration delay, std::function<void()> what) -> void
{
    at(now_ + delay, std::move(what));
}

auto World::delay() -> core::Duration
{
    const auto longest = static_cast<std::size_t>(shape_.faults.longestDelay.count());
    return core::Duration(1 + below(longest));
}

auto World::chance(double probability) -> bool
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

auto World::below(std::size_t limit) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
}

auto World::run() -> const History &
{
    for (auto &[id, sidecar] : sidecars_)
        startSidecar(*sidecar);
    for (auto &router : routers_)
        startRouter(*router);
    tick();
    for (auto i = 0; i < shape_.calls; ++i)
        at(core::Instant{2s}
               + core::Duration(below(static_cast<std::size_t>(shape_.length.count()))),
           [this] { newCall(); });
    scheduleFaults();
    const auto end = core::Instant{2s} + shape_.length + shape_.settle;
    while (!queue_.empty() && queue_.top().when <= end) {
        auto next = queue_.top();
        queue_.pop();
        now_ = next.when;
        next.what();
    }
    return history_;
}

auto World::startRouter(Router &router) -> void
{
    ++router.life;
    router.pausedUntil = {};
    router.inbox.clear();
    router.links.clear();
    router.waiting.clear();
    router.identity.seed = random_();
    router.node = std::make_unique<core::RouterNode>(router.identity);
    toRouter(router, core::SettingsInForce{settings_});
}

auto World::startSidecar(Sidecar &sidecar) -> void
{
    // A later life has a larger incarnation, as the wall clock gives it to the programs.
    sidecar.identity.incarnation += 1000000;
    sidecar.identity.seed = random_();
    sidecar.pausedUntil = {};
    sidecar.inbox.clear();
    sidecar.running.clear();
    sidecar.draining = false;
    sidecar.seenBeforeLeaving.clear();
    sidecar.seenWhileLeaving.clear();
    sidecar.node = std::make_unique<core::SidecarNode>(sidecar.identity);
    toSidecar(sidecar, core::SettingsInForce{settings_});
    report(sidecar);
}

auto World::tick() -> void
{
    for (auto &router : routers_)
        toRouter(*router, core::Tick{});
    for (auto &[id, sidecar] : sidecars_) {
        if (now_.time_since_epoch() % reportPeriod == 0us)
            report(*sidecar);
        toSidecar(*sidecar, core::Tick{});
    }
    after(tickPeriod, [this] { tick(); });
}

// A paused process takes everything that happened meanwhile when it wakes, in order.
template <typename Process, typename Event>
auto World::defer(Process &process, Event event) -> void
{
    if (std::holds_alternative<core::Tick>(event))
        return;
    process.inbox.push_back(std::move(event));
    if (process.inbox.size() == 1)
        at(process.pausedUntil, [this, &process] { wake(process); });
}

template <typename Process>
auto World::wake(Process &process) -> void
{
    if (now_ < process.pausedUntil) {
        at(process.pausedUntil, [this, &process] { wake(process); });
        return;
    }
    const auto missed = std::exchange(process.inbox, {});
    for (const auto &event : missed)
        take(process, event);
}

auto World::toRouter(Router &router, core::RouterEvent event) -> void
{
    if (now_ < router.pausedUntil || !router.inbox.empty())
        defer(router, std::move(event));
    else
        take(router, std::move(event));
}

auto World::toSidecar(Sidecar &sidecar, core::SidecarEvent event) -> void
{
    if (now_ < sidecar.pausedUntil || !sidecar.inbox.empty())
        defer(sidecar, std::move(event));
    else
        take(sidecar, std::move(event));
}

auto World::take(Router &router, core::RouterEvent event) -> void
{
    for (auto &action : router.node->handle(std::move(event), now_ + router.clockOffset))
        act(router, std::move(action));
}

auto World::take(Sidecar &sidecar, core::SidecarEvent event) -> void
{
    for (auto &action : sidecar.node->handle(std::move(event), now_ + sidecar.clockOffset))
        act(sidecar, std::move(action));
}

auto World::act(Router &router, core::RouterAction action) -> void
{
    if (auto *sent = std::get_if<core::SendToSidecar>(&action)) {
        sendToSidecar(router, sent->upstream, std::move(sent->message));
    } else if (const auto *opened = std::get_if<core::OpenLink>(&action)) {
        openLink(router, opened->upstream);
    } else if (const auto *dropped = std::get_if<core::DropLink>(&action)) {
        const auto link = router.links.find(dropped->upstream);
        if (link != router.links.end())
            cut(link->second, false, true);
        router.waiting.erase(dropped->upstream);
    } else if (const auto *chunk = std::get_if<core::AnswerChunk>(&action)) {
        received(*chunk);
        toRouter(router, core::CallerConsumed{chunk->request, chunk->offset + chunk->data.size()});
    } else if (const auto *ended = std::get_if<core::AnswerEnd>(&action)) {
        finish(ended->request, std::nullopt);
    } else if (const auto *failed = std::get_if<core::AnswerFailure>(&action)) {
        finish(failed->request, failed->failure);
    } else if (auto *digest = std::get_if<core::SendDigest>(&action)) {
        const auto sidecar = sidecars_.find(digest->upstream);
        if (sidecar == sidecars_.end() || chance(shape_.faults.dropMessage))
            return;
        if (isApart(router, *sidecar->second))
            return;
        after(delay(), [this, &target = *sidecar->second, digest = digest->digest] {
            toSidecar(target, core::DigestReceived{digest});
        });
    }
}

auto World::act(Sidecar &sidecar, core::SidecarAction action) -> void
{
    if (auto *sent = std::get_if<core::SendToPeer>(&action)) {
        sendToPeer(sidecar, sent->link, sent->message);
    } else if (const auto *closed = std::get_if<core::ClosePeer>(&action)) {
        const auto link = links_.find(closed->link);
        if (link != links_.end())
            cut(link->second, true, false);
    } else if (const auto *start = std::get_if<core::StartRun>(&action)) {
        startRun(sidecar, *start);
    } else if (const auto *cancelled = std::get_if<core::CancelRun>(&action)) {
        sidecar.running.erase(cancelled->run);
    } else if (auto *digest = std::get_if<core::SendDigest>(&action)) {
        // Replies to a router's datagram are sent to every router here; the routers only merge.
        const auto target = sidecars_.find(digest->upstream);
        after(delay(), [this, &sidecar, target, digest = digest->digest] {
            if (target != sidecars_.end()) {
                if (!isApart(sidecar, *target->second))
                    toSidecar(*target->second, core::DigestReceived{digest});
                return;
            }
            for (auto &router : routers_) {
                if (!isApart(sidecar, *router))
                    toRouter(*router, core::DigestReceived{digest});
            }
        });
    }
}

} // namespace applehatch::schedule
