#include "applehatch/core/gossip.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace applehatch::core {

namespace {

// Upper limits of the packed sizes, in bytes.
constexpr std::size_t headerBytes = 60;
constexpr std::size_t entryBytes = 45;
constexpr std::size_t sumBytes = 45;
constexpr std::size_t noticeBytes = 45;
constexpr std::size_t maxNotices = 6;
constexpr Duration sumLifetime = std::chrono::seconds(10);

auto loadPerSlot(const DigestEntry &entry) -> double
{
    return static_cast<double>(entry.running + entry.waiting) / std::max(1U, entry.slots);
}

// The own entry does not depend on the pool's members: a member that was removed from the settings
// still reports its load.
auto entriesFor(const DigestRecipient &reader, const GossipView &view, const LoadTable &loads,
                std::size_t count, Instant now) -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> entries;
    if (count == 0)
        return entries;
    if (const auto own = loads.find(view.self, now))
        entries.push_back(*own);
    for (const auto &entry : loads.newestEntriesOf(view.pool, reader.known, count, now)) {
        if (entry.upstream != view.self && entries.size() < count)
            entries.push_back(entry);
    }
    return entries;
}

} // namespace

auto PoolSums::apply(const std::vector<PoolSum> &sums, Instant now) -> void
{
    for (const auto &sum : sums) {
        const auto madeAt = now - sum.age;
        auto &[stored, storedMadeAt] = entries_[{sum.pool, sum.dataCenter}];
        if (stored.pool != 0 && madeAt <= storedMadeAt)
            continue;
        stored = sum;
        storedMadeAt = madeAt;
    }
}

auto PoolSums::others(std::uint64_t pool, std::uint64_t ownDataCenter, Instant now) const
    -> std::vector<PoolSum>
{
    std::vector<PoolSum> found;
    for (auto item = entries_.lower_bound({pool, 0});
         item != entries_.end() && item->first.first == pool; ++item) {
        auto sum = item->second.first;
        sum.age = now - item->second.second;
        if (sum.dataCenter != ownDataCenter && sum.age <= sumLifetime)
            found.push_back(sum);
    }
    return found;
}

auto PoolSums::expire(Instant now) -> void
{
    std::erase_if(entries_,
                  [now](const auto &item) { return now - item.second.second > sumLifetime; });
}

auto fitsOneDigest(const GossipView &view) -> bool
{
    return headerBytes + view.pool.members.size() * entryBytes <= view.bytes;
}

auto ownSum(const GossipView &view, const LoadTable &loads, Instant now) -> PoolSum
{
    PoolSum sum;
    sum.pool = stableHash(view.pool.team + '/' + view.pool.name);
    sum.dataCenter = stableHash(view.dataCenter);
    for (const auto &member : view.pool.members) {
        const auto entry = loads.find(member.id, now);
        if (member.dataCenter != view.dataCenter || !entry
            || entry->state != UpstreamState::Serving)
            continue;
        ++sum.members;
        sum.load += entry->running + entry->waiting;
        sum.slots += entry->slots;
        sum.version = std::max(sum.version, entry->version);
    }
    return sum;
}

auto composeDigest(const GossipView &view, const LoadTable &loads, const PoolSums &sums,
                   const CrashTracker &crashes, const DigestRecipient &reader, Instant now)
    -> Digest
{
    Digest digest;
    digest.settingsIndex = view.settingsIndex;
    digest.crashes = crashes.notices(maxNotices, now);
    auto room = view.bytes - std::min(view.bytes, headerBytes);
    room -= std::min(room, digest.crashes.size() * noticeBytes);
    if (!fitsOneDigest(view)) {
        const auto own = ownSum(view, loads, now);
        digest.sums = sums.others(own.pool, own.dataCenter, now);
        digest.sums.insert(digest.sums.begin(), own);
        digest.sums.resize(std::min(digest.sums.size(), room / sumBytes));
        room -= digest.sums.size() * sumBytes;
    }
    if (reader.isSameDataCenter || fitsOneDigest(view)) {
        const auto count = std::min(reader.maxEntries, room / entryBytes);
        digest.entries = entriesFor(reader, view, loads, count, now);
    }
    return digest;
}

auto wholePoolLoad(const GossipView &view, const LoadTable &loads, const PoolSums &sums,
                   Instant now) -> PoolLoad
{
    auto load = loads.poolLoad(view.pool, now);
    std::set<std::uint64_t> dataCentersWithEntries{stableHash(view.dataCenter)};
    for (const auto &member : view.pool.members) {
        if (loads.find(member.id, now))
            dataCentersWithEntries.insert(stableHash(member.dataCenter));
    }
    const auto pool = stableHash(view.pool.team + '/' + view.pool.name);
    for (const auto &sum : sums.others(pool, stableHash(view.dataCenter), now)) {
        if (dataCentersWithEntries.contains(sum.dataCenter))
            continue;
        load.members += sum.members;
        load.load += sum.load;
        load.slots += sum.slots;
        // Sums do not separate running from waiting requests; with few waiting the error is small.
        load.running += sum.load;
    }
    return load;
}

auto digestSize(const Digest &digest) -> std::size_t
{
    return headerBytes + digest.entries.size() * entryBytes + digest.sums.size() * sumBytes
        + digest.crashes.size() * noticeBytes;
}

ReplyBudget::ReplyBudget(std::size_t bytesPerSecond)
    : bytesPerSecond_(static_cast<double>(bytesPerSecond))
    , availableBytes_(bytesPerSecond_)
{ }

auto ReplyBudget::spend(std::size_t bytes, Instant now) -> bool
{
    const std::chrono::duration<double> passed = now - refilledAt_;
    availableBytes_ = std::min(bytesPerSecond_, availableBytes_ + passed.count() * bytesPerSecond_);
    refilledAt_ = now;
    if (availableBytes_ < static_cast<double>(bytes))
        return false;
    availableBytes_ -= static_cast<double>(bytes);
    return true;
}

auto freshestFrom(UpstreamId self, const LoadTable &loads, std::size_t count, Instant now)
    -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> entries;
    if (count == 0)
        return entries;
    if (const auto own = loads.find(self, now))
        entries.push_back(*own);
    for (const auto &entry : loads.newestEntries(count, now)) {
        if (entry.upstream != self && entries.size() < count)
            entries.push_back(entry);
    }
    return entries;
}

auto betterCandidates(const GossipView &view, const LoadTable &loads, std::size_t count,
                      Instant now) -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> entries;
    for (const auto &member : view.pool.members) {
        const auto entry = loads.find(member.id, now);
        if (entry && member.id != view.self && entry->state == UpstreamState::Serving)
            entries.push_back(*entry);
    }
    std::sort(entries.begin(), entries.end(), [](const DigestEntry &a, const DigestEntry &b) {
        return loadPerSlot(a) != loadPerSlot(b) ? loadPerSlot(a) < loadPerSlot(b)
                                                : a.upstream < b.upstream;
    });
    if (entries.size() >= count)
        entries.resize(count - 1);
    if (const auto own = loads.find(view.self, now))
        entries.push_back(*own);
    return entries;
}

} // namespace applehatch::core
