#include "applehatch/gateway/peer-table.h"

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace {

auto keyOf(const Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace

PeerTable::PeerTable(Address self)
    : self_(std::move(self))
{ }

auto PeerTable::apply(const PeerDigest &digest, Instant now) -> bool
{
    if (digest.sender == self_)
        return false;
    auto &row = heard_[keyOf(digest.sender)];
    const auto isOld =
        digest.life < row.life || (digest.life == row.life && digest.sequence <= row.sequence);
    if (isOld)
        return false;
    row = {digest.sender, digest.life, digest.sequence, digest.revision, digest.leaving, now};
    told_.erase(keyOf(digest.sender));
    for (const auto &member : digest.members) {
        if (member != self_ && !heard_.contains(keyOf(member)))
            told_[keyOf(member)] = {member, now};
    }
    return true;
}

auto PeerTable::members(Instant now) const -> std::vector<Address>
{
    std::vector<Address> members;
    for (const auto &[key, row] : heard_) {
        if (now - row.heardAt <= knownFor)
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

auto PeerTable::alive(Instant now) const -> std::vector<PeerRow>
{
    std::vector<PeerRow> rows;
    for (const auto &[key, row] : heard_) {
        if (now - row.heardAt <= aliveFor)
            rows.push_back(row);
    }
    return rows;
}

auto PeerTable::routers(Instant now) const -> std::size_t
{
    std::size_t counted = 1;
    for (const auto &[key, row] : heard_) {
        if (now - row.heardAt <= countedFor)
            ++counted;
    }
    return std::max(counted, seeds_.size());
}

} // namespace applehatch::gateway
