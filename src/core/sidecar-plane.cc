#include "sidecar-state.h"

#include <algorithm>

namespace applehatch::core {

namespace {

// Members to which a state change is sent immediately; the others get it by gossip.
constexpr std::size_t maxAdvertisedPeers = 3;

auto sameMembers(const std::vector<settings::Member> &a, const std::vector<settings::Member> &b)
    -> bool
{
    const auto isSame = [](const settings::Member &x, const settings::Member &y) {
        return x.id == y.id && x.slots == y.slots;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), isSame);
}

} // namespace

// This node is the authority on its upstream's load. An entry about it from a peer is older, or
// belongs to a later incarnation that took over; neither may count as this node's load.
auto SidecarNode::State::applyEntries(std::vector<DigestEntry> entries) -> void
{
    std::erase_if(entries, [this](const DigestEntry &entry) { return entry.upstream == self; });
    loads.apply(entries, now);
}

auto SidecarNode::State::on(const DigestReceived &event) -> void
{
    const auto &digest = event.digest;
    applyEntries(digest.entries);
    sums.apply(digest.sums, now);
    for (const auto &notice : digest.crashes)
        crashes.apply(notice, now);
    if (!digest.wantsReply)
        return;
    const auto isOtherDataCenter = digest.entries.empty() && !digest.sums.empty();
    DigestRecipient recipient;
    recipient.isSameDataCenter = !isOtherDataCenter;
    recipient.known = digest.entries;
    auto reply = digestFor(recipient);
    if (replies.spend(digestSize(reply), now))
        out.emplace_back(SendDigest{0, std::move(reply)});
}

auto SidecarNode::State::on(const SettingsInForce &event) -> void
{
    if (!event.settings)
        return;
    settings = event.settings;
    const auto team = settings->teams.find(identity.team);
    const auto isKnown =
        team != settings->teams.end() && team->second->pools.contains(identity.pool);
    const auto leavingBefore = isLeaving();
    removed = true;
    if (isKnown) {
        const auto &next = team->second->pools.at(identity.pool);
        teamIndex = team->second->index;
        if (!pool.members.empty() && !sameMembers(pool.members, next.members))
            pastMembers.push_back({pool.members, now + next.resendWindow});
        pool = next;
        for (const auto &member : pool.members) {
            if (member.id != self)
                continue;
            removed = false;
            slots = std::max(1U, member.slots);
        }
    }
    std::erase_if(pastMembers, [this](const PastMembers &past) { return past.until <= now; });
    if (hostList)
        on(HostListRead{*hostList});
    handleLeavingChange(leavingBefore);
    dispatch();
}

auto SidecarNode::State::refreshOwn() -> void
{
    auto entry = own;
    entry.upstream = self;
    entry.incarnation = identity.incarnation;
    entry.running = running;
    entry.waiting = static_cast<std::uint32_t>(queue.size());
    entry.slots = slots;
    entry.state = upstreamState();
    if (entry == own && ownMadeAt && now - *ownMadeAt < limits.digestInterval)
        return;
    ++entry.version;
    own = entry;
    ownMadeAt = now;
    loads.apply({own}, now);
}

auto SidecarNode::State::exchangeDigest() -> void
{
    if (now - digestAt < limits.digestInterval)
        return;
    std::vector<const settings::Member *> others;
    for (const auto &member : pool.members) {
        if (member.id != self)
            others.push_back(&member);
    }
    if (others.empty())
        return;
    digestAt = now;
    const auto &peer = *others[random() % others.size()];
    auto digest =
        digestFor({peer.dataCenter == identity.dataCenter, limits.unsolicitedEntries, {}});
    digest.wantsReply = true;
    out.emplace_back(SendDigest{peer.id, std::move(digest)});
}

auto SidecarNode::State::digestFor(const DigestRecipient &reader) const -> Digest
{
    return composeDigest(view(), loads, sums, crashes, reader, now);
}

auto SidecarNode::State::broadcastCrashes() -> void
{
    refreshOwn();
    auto digest = digestFor({false, 0, {}});
    digest.sums.clear();
    digest.entries = freshestFrom(self, loads, 1, now);
    for (const auto &member : pool.members) {
        if (member.id != self)
            out.emplace_back(SendDigest{member.id, digest});
    }
}

auto SidecarNode::State::advertiseToSome() -> void
{
    refreshOwn();
    std::vector<UpstreamId> others;
    for (const auto &member : pool.members) {
        if (member.id != self)
            others.push_back(member.id);
    }
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min(others.size(), maxAdvertisedPeers));
    for (const auto id : others)
        out.emplace_back(SendDigest{id, digestFor({true, limits.unsolicitedEntries, {}})});
}

} // namespace applehatch::core
