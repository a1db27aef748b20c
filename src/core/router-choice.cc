// Choice of the next upstream for a request.
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

// Finding a chat's owner visits every member of the pool. It is skipped when every member is usable
// and none is full, since the chat then goes to its owner.
auto mayHaveLeftOwner(const PlacementView &view, const std::vector<UpstreamId> &order) -> bool
{
    if (view.tokenUpstream != 0)
        return view.tokenUpstream != order.front();
    return view.chat != 0
        && (view.usable.size() < view.pool.members.size()
            || std::any_of(order.begin(), order.end(),
                           [&](UpstreamId id) { return isWellOverBound(view, id); }));
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
    for (const auto &life : crashes_.incarnationsOf(exchange.terms.fingerprint, now_))
        crashed.push_back(life.upstream);
    return crashed;
}

// The order depends on the request alone, so copies of it that arrive through other routers go to
// the same second upstream and cannot crash one upstream each. Whether that upstream is up is
// ignored: routers disagree on it for a moment, and each would choose a different second upstream.
auto RouterNode::State::chooseAfterCrash(const Exchange &exchange,
                                         const std::vector<UpstreamId> &crashed)
    -> std::optional<Choice>
{
    const auto &pool = *exchange.pool.pool;
    for (const auto id : rendezvousOrder(pool, exchange.terms.fingerprint, pool.members.size())) {
        if (contains(crashed, id) || isUnlisted(*exchange.pool.member(id)))
            continue;
        const auto mayTry =
            !contains(exchange.tried, id) && contains(poolView(exchange.pool).fallback, id);
        return mayTry ? std::optional(Choice{id, "after-crash"}) : std::nullopt;
    }
    return std::nullopt;
}

// Whether the platform no longer lists the member's host, which may be removed permanently.
auto RouterNode::State::isUnlisted(const settings::Member &member) const -> bool
{
    return !hosts_.empty() && !hosts_.contains(member.sidecar.ip);
}

auto RouterNode::State::chooseByPlacement(Exchange &exchange) -> std::optional<Choice>
{
    const auto &view = poolView(exchange.pool);
    auto usable = without(view.usable, exchange.tried);
    addContestedTokenUpstream(exchange, usable);
    if (usable.empty())
        usable = without(view.fallback, exchange.tried);
    if (usable.empty())
        return std::nullopt;
    const PlacementView asked{*exchange.pool.pool,
                              loads_,
                              exchange.terms.chat,
                              exchange.tokenUpstream,
                              std::move(usable),
                              identity_.dataCenter,
                              now_,
                              view.load,
                              exchange.terms.fingerprint};
    const auto order = placement_(asked, random_);
    if (order.empty())
        return std::nullopt;
    const auto chosen = order.front();
    if (exchange.hops == 0 && mayHaveLeftOwner(asked, order))
        recordPassedOverOwner(exchange, asked, chosen);
    if (chosen == exchange.tokenUpstream)
        return Choice{chosen, "token"};
    return Choice{chosen, exchange.terms.chat == 0 ? "least-of-two" : "hash"};
}

// Records for the log why a chat did not go to its owner. An owner that is only over its bound is
// also recorded in `movedFrom`, so that it learns where its chat went.
auto RouterNode::State::recordPassedOverOwner(Exchange &exchange, const PlacementView &view,
                                              UpstreamId chosen) -> void
{
    const auto *member = exchange.pool.member(
        view.tokenUpstream != 0 ? view.tokenUpstream
                                : chatOwner(view.pool, view.chat, view.ownDataCenter));
    if (member == nullptr || member->id == chosen)
        return;
    auto reason = std::string(obstacle(*member, true, now_));
    if (reason.empty() && isWellOverBound(view, member->id)) {
        reason = "over-bound";
        exchange.movedFrom = member->id;
    }
    exchange.passedOver.push_back({member->id, reason.empty() ? "ranked-lower" : reason});
}

auto RouterNode::State::spareCapacityElsewhere(const Exchange &exchange) const -> SpareCapacity
{
    const auto &pool = *exchange.pool.pool;
    const auto poolLoad = loads_.poolLoad(pool, now_);
    auto capacity = SpareCapacity::None;
    for (const auto &member : pool.members) {
        if (member.id == exchange.upstream || contains(exchange.tried, member.id)
            || !obstacle(member, true, now_).empty())
            continue;
        const auto entry = loads_.find(member.id, now_);
        if (!entry) {
            capacity = SpareCapacity::Unknown;
            continue;
        }
        // An upstream below its load bound still refuses requests when its queue is full.
        const auto limit = std::min(loadBound(poolLoad, entry->slots, pool.loadMultiple),
                                    entry->slots + pool.queueLimit);
        if (entry->running + entry->waiting < limit)
            return SpareCapacity::Available;
    }
    return capacity;
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
        view.fallback.push_back(member.id);
        if (obstacle(member, true, now).empty())
            view.usable.push_back(member.id);
    }
    return view;
}

// Why `member` should be passed over; empty when it is usable. Weak evidence may be wrong on this
// router's side: the delayed host list, and a failed connection. It never leaves a request without
// any candidate.
auto RouterNode::State::obstacle(const settings::Member &member, bool includeWeak,
                                 Instant now) const -> std::string_view
{
    const auto host = hosts_.find(member.sidecar.ip);
    if (host != hosts_.end() && host->second == HostState::Leaving)
        return "leaving-host";
    if (const auto own = ownObstacle(member, now); !own.empty() || !includeWeak)
        return own;
    if (isUnlisted(member))
        return "not-listed";
    const auto link = links_.find(member.id);
    if (link != links_.end() && link->second.failedAt
        && now - *link->second.failedAt < links::failureLifetime)
        return "link-down";
    return {};
}

// The obstacle that the upstream itself reported, to this router or in a digest.
auto RouterNode::State::ownObstacle(const settings::Member &member, Instant now) const
    -> std::string_view
{
    const auto entry = loads_.find(member.id, now);
    const auto link = links_.find(member.id);
    // During a rollout each member comes back within seconds. If the refusal of its last
    // incarnation still counted, two members at once would be passed over, and a caller would get
    // the error that no upstream is left.
    if (link != links_.end() && link->second.leavingAt
        && now - *link->second.leavingAt < links::leavingLifetime
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
    const auto listed = listedLeavingSince_.find(member.sidecar.ip);
    if (listed == listedLeavingSince_.end()
        || now_ - listed->second >= limits::leavingDisputeTimeout)
        return false;
    const auto entry = loads_.find(member.id, now_);
    return entry && entry->age <= limits::leavingDisputeTimeout
        && ownObstacle(member, now_).empty();
}

// A sidecar that restarts is joining for a moment, and routers see that state for some seconds. Its
// engine kept the contexts, so passing it over would make each of its returning chats start cold.
// An upstream that takes long to join has advertised more versions of this incarnation, and is not
// tried.
auto RouterNode::State::hasJustStarted(const settings::Member &member) const -> bool
{
    const auto entry = loads_.find(member.id, now_);
    return entry && entry->version <= limits::maxEarlyVersion
        && obstacle(member, true, now_) == "joining";
}

// Host lists differ between processes for seconds, and a wrong one would move a chat away from its
// context permanently. The sidecar reads the list as well and refuses once it is leaving, so a
// returning chat still tries it. If the sidecar never learns that it is leaving, the list takes
// precedence after a few seconds.
auto RouterNode::State::addContestedTokenUpstream(const Exchange &exchange,
                                                  std::vector<UpstreamId> &usable) const -> void
{
    const auto *preferred = exchange.pool.member(exchange.tokenUpstream);
    if (preferred == nullptr || contains(exchange.tried, preferred->id)
        || contains(usable, preferred->id)
        || (!onlyListedAsLeaving(*preferred) && !hasJustStarted(*preferred)))
        return;
    auto next = usable.begin();
    for (const auto &member : exchange.pool.pool->members) {
        if (member.id == preferred->id)
            break;
        if (next != usable.end() && *next == member.id)
            ++next;
    }
    usable.insert(next, preferred->id);
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
