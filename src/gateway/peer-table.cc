#include "applehatch/gateway/peer-table.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace {

auto keyOf(const Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

// The next `count` of `all` after those taken before; all of them when there are no more. The turn
// goes on rising, so that a list that has changed its length does not bring turns together.
auto takeInTurn(const std::vector<Address> &all, std::size_t count, std::size_t &turn)
    -> std::vector<Address>
{
    if (all.size() <= count)
        return all;
    std::vector<Address> taken;
    for (std::size_t i = 0; i < count; ++i)
        taken.push_back(all[(turn + i) % all.size()]);
    turn += count;
    return taken;
}

// Each router begins elsewhere. From the same place on, all would send to the same few at a time,
// and what is passed on would reach the last of 68 routers after a whole round of 1.4 s.
auto firstTurn(const Address &self) -> std::size_t
{
    return static_cast<std::uint32_t>(direct::readerRank(self));
}

} // namespace

PeerTable::PeerTable(Address self, Duration period, std::uint64_t life)
    : self_(std::move(self))
    , period_(period)
    , readerBook_(self_, life)
    , targetTurn_(firstTurn(self_))
    , toldTurn_(targetTurn_)
    , memberTurn_(targetTurn_)
{ }

auto PeerTable::rankOf(const Address &router) -> std::uint64_t
{
    return direct::readerRank(router);
}

auto PeerTable::apply(const PeerDigest &digest, Instant now) -> bool
{
    if (digest.sender == self_)
        return false;
    auto &row = heard_[keyOf(digest.sender)];
    // A lower life is a late datagram of an earlier process, or the time of day was set back.
    const auto isLate = digest.life < row.life && now - row.heardAt <= aliveFor;
    const auto isOld = digest.life == row.life && digest.sequence <= row.sequence;
    if (isLate || isOld)
        return false;
    row = {digest.sender,  digest.life, digest.sequence,   digest.revision,
           digest.leaving, now,         listening_.at(now)};
    told_.erase(keyOf(digest.sender));
    for (const auto &member : digest.members) {
        if (member != self_ && !heard_.contains(keyOf(member)))
            told_[keyOf(member)] = {member, now};
    }
    applyReaders(digest, now);
    return true;
}

auto PeerTable::applyReaders(const PeerDigest &digest, Instant now) -> void
{
    const auto isSender = [&](const auto &word) { return word.router == digest.sender; };
    if (std::none_of(digest.readers.begin(), digest.readers.end(), isSender))
        readerBook_.noteStopped(digest.sender);
    for (const auto &word : digest.readers)
        readerBook_.note(word, now);
}

auto PeerTable::isHeard(const PeerRow &row, Duration limit, Instant now) const -> bool
{
    return listening_.at(now) - row.listenedAt <= limit;
}

auto PeerTable::members(Instant now) const -> std::vector<Address>
{
    const auto limit = std::max(knownFor, 3 * believedFor(now));
    std::vector<Address> members;
    for (const auto &[key, row] : heard_) {
        if (isHeard(row, limit, now))
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
    for (const auto &[key, told] : told_) {
        if (now - told.toldAt <= knownFor)
            add(told.address);
    }
    for (const auto &seed : seeds_)
        add(seed);
    return targets;
}

auto PeerTable::nextTargets(Instant now) -> std::vector<Address>
{
    listening_.look(now);
    return takeInTurn(targets(now), fanout, targetTurn_);
}

auto PeerTable::nextTold(Instant now) -> std::vector<Address>
{
    return takeInTurn(targets(now), fanout, toldTurn_);
}

auto PeerTable::nextMembers(Instant now) -> std::vector<Address>
{
    return takeInTurn(members(now), mostMembers, memberTurn_);
}

auto PeerTable::alive(Instant now) const -> std::vector<PeerRow>
{
    const auto limit = believedFor(now);
    std::vector<PeerRow> rows;
    for (const auto &[key, row] : heard_) {
        if (isHeard(row, limit, now))
            rows.push_back(row);
    }
    return rows;
}

auto PeerTable::routers(Instant now) const -> std::size_t
{
    std::size_t counted = 1;
    for (const auto &[key, row] : heard_) {
        if (isHeard(row, countedFor, now))
            ++counted;
    }
    return std::max(counted, seeds_.size());
}

auto PeerTable::round(Instant now) const -> Duration
{
    std::size_t others = 0;
    for (const auto &[key, row] : heard_) {
        if (isHeard(row, knownFor, now))
            ++others;
    }
    const auto digests = std::max<std::size_t>(1, (others + fanout - 1) / fanout);
    return period_ * static_cast<Duration::rep>(digests);
}

auto PeerTable::believedFor(Instant now) const -> Duration
{
    return std::max(aliveFor, aliveRounds * round(now));
}

} // namespace applehatch::gateway
