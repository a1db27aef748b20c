#include "applehatch/gateway/peer-table.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace {

auto keyOf(const Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

// Returns the next `count` addresses in round-robin order, or all if there are no more. The offset
// is not reduced modulo the list's length, so that routers whose lists change length do not end up
// at the same position.
auto takeRoundRobin(const std::vector<Address> &all, std::size_t count, std::size_t &offset)
    -> std::vector<Address>
{
    if (all.size() <= count)
        return all;
    std::vector<Address> taken;
    for (std::size_t i = 0; i < count; ++i)
        taken.push_back(all[(offset + i) % all.size()]);
    offset += count;
    return taken;
}

// Each router starts at another offset. With the same offset all routers would send to the same few
// targets at a time, and relayed information would reach the last of 68 routers only after a whole
// round of 1.4 s.
auto initialOffset(const Address &self) -> std::size_t
{
    return static_cast<std::uint32_t>(direct::readerRank(self));
}

} // namespace

PeerTable::PeerTable(Address self, Duration digestInterval, std::uint64_t incarnation)
    : self_(std::move(self))
    , digestInterval_(digestInterval)
    , readerTracker_(self_, incarnation)
    , targetOffset_(initialOffset(self_))
    , briefTargetOffset_(targetOffset_)
    , memberOffset_(targetOffset_)
{ }

auto PeerTable::rankOf(const Address &router) -> std::uint64_t
{
    return direct::readerRank(router);
}

auto PeerTable::apply(const PeerDigest &digest, Instant now) -> bool
{
    if (digest.sender == self_)
        return false;
    auto &row = peers_[keyOf(digest.sender)];
    // A lower incarnation is a late datagram of an earlier process, or the time of day was set
    // back.
    const auto isFromEarlierIncarnation =
        digest.incarnation < row.incarnation && now - row.heardAt <= aliveTimeout;
    const auto isOld = digest.incarnation == row.incarnation && digest.sequence <= row.sequence;
    if (isFromEarlierIncarnation || isOld)
        return false;
    if (row.heardAt == Instant())
        newestHeardAt_ = now;
    row = {digest.sender, digest.incarnation, digest.sequence, digest.revision, digest.leaving,
           now,           listening_.at(now)};
    advertised_.erase(keyOf(digest.sender));
    for (const auto &member : digest.members) {
        if (member != self_ && !peers_.contains(keyOf(member)))
            advertised_[keyOf(member)] = {member, now};
    }
    applyReaders(digest, now);
    return true;
}

auto PeerTable::applyReaders(const PeerDigest &digest, Instant now) -> void
{
    const auto isSender = [&](const auto &reader) { return reader.router == digest.sender; };
    if (std::none_of(digest.readers.begin(), digest.readers.end(), isSender))
        readerTracker_.noteStopped(digest.sender);
    for (const auto &reader : digest.readers)
        readerTracker_.note(reader, now);
}

auto PeerTable::wasHeardWithin(const PeerRow &row, Duration limit, Instant now) const -> bool
{
    return listening_.at(now) - row.listenedAt <= limit;
}

auto PeerTable::members(Instant now) const -> std::vector<Address>
{
    const auto limit = std::max(memberLifetime, 3 * currentAliveTimeout(now));
    std::vector<Address> members;
    for (const auto &[key, row] : peers_) {
        if (wasHeardWithin(row, limit, now))
            members.push_back(row.address);
    }
    return members;
}

auto PeerTable::targets(Instant now) const -> std::vector<Address>
{
    auto targets = members(now);
    const auto add = [&](const Address &address) {
        const auto known = std::find(targets.begin(), targets.end(), address) != targets.end();
        if (!known && address != self_)
            targets.push_back(address);
    };
    for (const auto &[key, peer] : advertised_) {
        if (now - peer.advertisedAt <= memberLifetime)
            add(peer.address);
    }
    for (const auto &seed : seeds_)
        add(seed);
    return targets;
}

auto PeerTable::nextTargets(Instant now) -> std::vector<Address>
{
    listening_.recordPoll(now);
    if (newestHeardAt_ == Instant())
        newestHeardAt_ = now;
    return takeRoundRobin(targets(now), fanout, targetOffset_);
}

auto PeerTable::nextBriefTargets(Instant now) -> std::vector<Address>
{
    return takeRoundRobin(targets(now), fanout, briefTargetOffset_);
}

auto PeerTable::nextMembers(Instant now) -> std::vector<Address>
{
    return takeRoundRobin(members(now), maxMembersPerDigest, memberOffset_);
}

auto PeerTable::alive(Instant now) const -> std::vector<PeerRow>
{
    const auto limit = currentAliveTimeout(now);
    std::vector<PeerRow> rows;
    for (const auto &[key, row] : peers_) {
        if (wasHeardWithin(row, limit, now))
            rows.push_back(row);
    }
    return rows;
}

auto PeerTable::routers(Instant now) const -> std::size_t
{
    std::size_t counted = 1;
    for (const auto &[key, row] : peers_) {
        if (wasHeardWithin(row, budgetShareLifetime, now))
            ++counted;
    }
    return std::max(counted, seeds_.size());
}

auto PeerTable::others(Instant now) const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> ranks;
    for (const auto &[key, row] : peers_) {
        if (wasHeardWithin(row, budgetShareLifetime, now))
            ranks.push_back(rankOf(row.address));
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

auto PeerTable::isComplete(Instant now) const -> bool
{
    if (newestHeardAt_ == Instant() || now - newestHeardAt_ < learningTime)
        return false;
    return std::all_of(seeds_.begin(), seeds_.end(), [&](const Address &seed) {
        const auto row = peers_.find(keyOf(seed));
        return seed == self_
            || (row != peers_.end() && wasHeardWithin(row->second, budgetShareLifetime, now));
    });
}

auto PeerTable::roundDuration(Instant now) const -> Duration
{
    std::size_t others = 0;
    for (const auto &[key, row] : peers_) {
        if (wasHeardWithin(row, memberLifetime, now))
            ++others;
    }
    const auto digests = std::max<std::size_t>(1, (others + fanout - 1) / fanout);
    return digestInterval_ * static_cast<Duration::rep>(digests);
}

auto PeerTable::currentAliveTimeout(Instant now) const -> Duration
{
    return std::max(aliveTimeout, maxMissedRounds * roundDuration(now));
}

} // namespace applehatch::gateway
