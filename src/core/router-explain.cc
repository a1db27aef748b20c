// Lists the candidates of a chat for operators.
#include "applehatch/core/placement.h"
#include "applehatch/core/token.h"

#include "router-state.h"

#include <algorithm>

namespace applehatch::core {

auto RouterNode::explain(const std::string &team, const std::string &pool, const std::string &chat,
                         const std::string &contextToken, Instant now) const
    -> std::vector<Candidate>
{
    return state_->explain(team, pool, chat, contextToken, now);
}

auto RouterNode::State::explain(const std::string &teamName, const std::string &poolName,
                                const std::string &chat, const std::string &contextToken,
                                Instant now) const -> std::vector<Candidate>
{
    if (!settings_)
        return {};
    const auto team = settings_->teams.find(teamName);
    if (team == settings_->teams.end() || !team->second->pools.contains(poolName))
        return {};
    const auto &pool = team->second->pools.at(poolName);
    const auto view = makePoolView({team->second, &pool}, now);
    const auto context = parseContext(contextToken);
    const PlacementView asked{pool,
                              loads_,
                              chatKey(pool, chat.empty() ? 0 : stableHash(chat)),
                              context ? context->upstream : 0,
                              view.usable.empty() ? view.fallback : view.usable,
                              identity_.dataCenter,
                              now,
                              view.load};
    auto random = random_;
    const auto order = placement_(asked, random);
    std::vector<Candidate> candidates;
    for (const auto &member : pool.members)
        candidates.push_back(describe(member, asked, order));
    const auto rank = [&](const Candidate &candidate) {
        return std::find(order.begin(), order.end(), candidate.upstream) - order.begin();
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const Candidate &a, const Candidate &b) { return rank(a) < rank(b); });
    return candidates;
}

auto RouterNode::State::describe(const settings::Member &member, const PlacementView &view,
                                 const std::vector<UpstreamId> &order) const -> Candidate
{
    Candidate candidate;
    candidate.upstream = member.id;
    candidate.name = member.name;
    candidate.bound = loadBound(view.poolLoad, member.slots, view.pool.loadMultiple);
    if (const auto entry = loads_.find(member.id, view.now))
        candidate.load = entry->running + entry->waiting;
    candidate.chosen = !order.empty() && order.front() == member.id;
    candidate.reason = obstacle(member, true, view.now);
    if (!candidate.reason.empty())
        return candidate;
    if (candidate.chosen && member.id == view.tokenUpstream)
        candidate.reason = "token";
    else if (candidate.chosen)
        candidate.reason = view.chat == 0 ? "least-of-two" : "hash";
    else if (view.poolLoad.slots != 0 && candidate.load >= candidate.bound)
        candidate.reason = "at-bound";
    else
        candidate.reason = "ranked-lower";
    return candidate;
}

} // namespace applehatch::core
