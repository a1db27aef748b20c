// Where a request goes next.
#include "applehatch/core/placement.h"

#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

namespace {

auto contains(const std::vector<UpstreamId> &ids, UpstreamId id) -> bool
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

auto without(const std::vector<UpstreamId> &ids, const std::vector<UpstreamId> &dropped)
    -> std::vector<UpstreamId>
{
    auto left = ids;
    if (!dropped.empty())
        std::erase_if(left, [&](UpstreamId id) { return contains(dropped, id); });
    return left;
}

// Finding a chat's home is a walk over the pool; with everybody usable and nobody full there is
// nothing to find.
auto mayHaveLeftHome(const PlacementView &view, const std::vector<UpstreamId> &order) -> bool
{
    if (view.tokenHome != 0)
        return view.tokenHome != order.front();
    return view.chat != 0
        && (view.usable.size() < view.pool.members.size()
            || std::any_of(order.begin(), order.end(),
                           [&](UpstreamId id) { return isClearlyOver(view, id); }));
}

} // namespace

auto RouterNode::State::choose(Exchange &exchange) -> std::optional<Choice>
{
    if (exchange.boundTo != 0) {
        if (contains(exchange.tried, exchange.boundTo))
            return std::nullopt;
        return Choice{exchange.boundTo, exchange.cause.empty() ? "position" : exchange.cause};
    }
    const auto redirect = std::exchange(exchange.redirect, 0);
    const auto crashed = crashedUpstreams(exchange);
    if (!crashed.empty())
        return chooseAfterCrash(exchange, crashed);
    const auto *holder = exchange.pool.member(redirect);
    if (holder != nullptr && !contains(exchange.tried, redirect)
        && obstacle(*holder, true, now_).empty())
        return Choice{redirect, "redirect"};
    return chooseByPlacement(exchange);
}

auto RouterNode::State::crashedUpstreams(const Exchange &exchange) const -> std::vector<UpstreamId>
{
    auto crashed = exchange.crashedAt;
    for (const auto &life : crashes_.livesOf(exchange.terms.fingerprint, now_))
        crashed.push_back(life.upstream);
    return crashed;
}

// The order depends on the request alone, so its copies that arrive through other routers meet at
// the same second upstream and cannot take down one upstream each. Whether that one is up plays no
// part: routers differ over it for a moment, and each would then name a second upstream of its own.
auto RouterNode::State::chooseAfterCrash(const Exchange &exchange,
                                         const std::vector<UpstreamId> &crashed)
    -> std::optional<Choice>
{
    const auto &pool = *exchange.pool.pool;
    for (const auto id : rendezvousOrder(pool, exchange.terms.fingerprint, pool.members.size())) {
        if (contains(crashed, id) || isUnlisted(*exchange.pool.member(id)))
            continue;
        const auto mayTry =
            !contains(exchange.tried, id) && contains(poolView(exchange.pool).doubtful, id);
        return mayTry ? std::optional(Choice{id, "after-crash"}) : std::nullopt;
    }
    return std::nullopt;
}

// The platform no longer lists its host: it may be gone for good.
auto RouterNode::State::isUnlisted(const settings::Member &member) const -> bool
{
    return !hosts_.empty() && !hosts_.contains(member.sidecar.ip);
}

auto RouterNode::State::chooseByPlacement(Exchange &exchange) -> std::optional<Choice>
{
    const auto &view = poolView(exchange.pool);
    auto usable = without(view.usable, exchange.tried);
    addContestedHome(exchange, usable);
    if (usable.empty())
        usable = without(view.doubtful, exchange.tried);
    if (usable.empty())
        return std::nullopt;
    const PlacementView asked{*exchange.pool.pool,
                              loads_,
                              exchange.terms.chat,
                              exchange.tokenHome,
                              std::move(usable),
                              identity_.dataCenter,
                              now_,
                              view.load,
                              exchange.terms.fingerprint};
    const auto order = placement_(asked, random_);
    if (order.empty())
        return std::nullopt;
    const auto chosen = order.front();
    if (exchange.hops == 0 && mayHaveLeftHome(asked, order))
        noteHome(exchange, asked, chosen);
    if (chosen == exchange.tokenHome)
        return Choice{chosen, "token"};
    return Choice{chosen, exchange.terms.chat == 0 ? "least-of-two" : "hash"};
}

// Says in the log why a chat did not go home, and lets a home that is merely full learn where its
// chat went.
auto RouterNode::State::noteHome(Exchange &exchange, const PlacementView &view, UpstreamId chosen)
    -> void
{
    const auto *member = exchange.pool.member(
        view.tokenHome != 0 ? view.tokenHome : chatHome(view.pool, view.chat, view.ownDataCenter));
    if (member == nullptr || member->id == chosen)
        return;
    auto reason = std::string(obstacle(*member, true, now_));
    if (reason.empty() && isClearlyOver(view, member->id)) {
        reason = "over-bound";
        exchange.home = member->id;
    }
    exchange.passedOver.push_back({member->id, reason.empty() ? "ranked-lower" : reason});
}

auto RouterNode::State::roomElsewhere(const Exchange &exchange) const -> Room
{
    const auto &pool = *exchange.pool.pool;
    const auto poolLoad = loads_.poolLoad(pool, now_);
    auto room = Room::None;
    for (const auto &member : pool.members) {
        if (member.id == exchange.upstream || contains(exchange.tried, member.id)
            || !obstacle(member, true, now_).empty())
            continue;
        const auto entry = loads_.find(member.id, now_);
        if (!entry) {
            room = Room::Possible;
            continue;
        }
        // An upstream below its bound still refuses once its queue is full.
        const auto most = std::min(loadBound(poolLoad, entry->slots, pool.loadMultiple),
                                   entry->slots + pool.queueLimit);
        if (entry->running + entry->waiting < most)
            return Room::Known;
    }
    return room;
}

auto RouterNode::State::poolView(const PoolRef &pool) -> const PoolView &
{
    auto &view = views_[pool.pool->team + '/' + pool.pool->name];
    if (view.pool.pool != pool.pool || now_ - view.madeAt > limits::poolViewLifetime)
        view = makePoolView(pool, now_);
    return view;
}

auto RouterNode::State::makePoolView(const PoolRef &pool, Instant now) const -> PoolView
{
    PoolView view;
    view.pool = pool;
    view.madeAt = now;
    view.load = loads_.poolLoad(*pool.pool, now);
    for (const auto &member : pool.pool->members) {
        if (!obstacle(member, false, now).empty())
            continue;
        view.doubtful.push_back(member.id);
        if (obstacle(member, true, now).empty())
            view.usable.push_back(member.id);
    }
    return view;
}

// Weak evidence is what may be wrong on our side: the lagging host list, and a connection that
// failed. It never leaves a request without any candidate.
auto RouterNode::State::obstacle(const settings::Member &member, bool weakToo, Instant now) const
    -> std::string_view
{
    const auto host = hosts_.find(member.sidecar.ip);
    if (host != hosts_.end() && host->second == HostState::Leaving)
        return "leaving-host";
    if (const auto own = ownObstacle(member, now); !own.empty() || !weakToo)
        return own;
    if (isUnlisted(member))
        return "not-listed";
    const auto link = links_.find(member.id);
    if (link != links_.end() && link->second.failedAt
        && now - *link->second.failedAt < links::failureMemory)
        return "link-down";
    return {};
}

// What the upstream itself has said, to this router or in a digest.
auto RouterNode::State::ownObstacle(const settings::Member &member, Instant now) const
    -> std::string_view
{
    const auto entry = loads_.find(member.id, now);
    const auto link = links_.find(member.id);
    // A pool that is rolled brings each member back within seconds. Were the refusal of its last
    // life still believed, two members at once would be passed over, and a caller be told that no
    // upstream is left.
    if (link != links_.end() && link->second.leavingAt
        && now - *link->second.leavingAt < links::leavingMemory
        && !(entry && entry->incarnation > link->second.incarnation))
        return "leaving";
    if (entry && entry->state != UpstreamState::Serving) {
        if (entry->state == UpstreamState::Leaving)
            return "leaving";
        if (entry->state == UpstreamState::Down)
            return "down";
        return "joining";
    }
    return {};
}

auto RouterNode::State::onlyListedAsLeaving(const settings::Member &member) const -> bool
{
    const auto said = leavingSaidAt_.find(member.sidecar.ip);
    if (said == leavingSaidAt_.end() || now_ - said->second >= limits::contestedLeaving)
        return false;
    const auto entry = loads_.find(member.id, now_);
    return entry && entry->age <= limits::contestedLeaving && ownObstacle(member, now_).empty();
}

// A sidecar that restarts is joining for a moment, and routers hear for seconds that it was. Its
// engine kept the contexts; passing it over would make each of its returning chats start cold. An
// upstream that takes long to join has told more entries of this life, and is not asked.
auto RouterNode::State::hasJustBegun(const settings::Member &member) const -> bool
{
    const auto entry = loads_.find(member.id, now_);
    return entry && entry->version <= limits::entriesOfABeginning
        && obstacle(member, true, now_) == "joining";
}

// Host lists differ for seconds, and a wrong one would send a chat away from its context for good.
// Its sidecar reads the list as well and refuses once it leaves, so a returning chat asks it; if
// the sidecar never learns of it, the list is obeyed after a few seconds all the same.
auto RouterNode::State::addContestedHome(const Exchange &exchange,
                                         std::vector<UpstreamId> &usable) const -> void
{
    const auto *home = exchange.pool.member(exchange.tokenHome);
    if (home == nullptr || contains(exchange.tried, home->id) || contains(usable, home->id)
        || (!onlyListedAsLeaving(*home) && !hasJustBegun(*home)))
        return;
    auto next = usable.begin();
    for (const auto &member : exchange.pool.pool->members) {
        if (member.id == home->id)
            break;
        if (next != usable.end() && *next == member.id)
            ++next;
    }
    usable.insert(next, home->id);
}

auto RouterNode::State::writeDecision(const Exchange &exchange) -> void
{
    const auto nameOf = [&](UpstreamId id) {
        const auto *member = exchange.pool.member(id);
        return member == nullptr ? std::string("unknown") : member->name;
    };
    std::string passed;
    for (const auto &other : exchange.passedOver)
        passed += (passed.empty() ? "" : ",") + nameOf(other.upstream) + ':' + other.reason;
    LogLine line("route");
    line.add("request", exchange.request)
        .add("customer", exchange.terms.team + '/' + exchange.terms.customer)
        .add("pool", exchange.terms.pool)
        .add("chat", std::to_string(exchange.terms.chat))
        .add("choice", nameOf(exchange.upstream))
        .add("cause", exchange.cause)
        .add("attempt", exchange.attempt + 1);
    if (!passed.empty())
        line.add("passed", passed);
    actions_.emplace_back(WriteLog{line});
}

} // namespace applehatch::core
