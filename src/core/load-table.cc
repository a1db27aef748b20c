#include "applehatch/core/load-table.h"

#include <algorithm>
#include <cmath>

namespace applehatch::core {

namespace {

auto keepNewest(std::vector<DigestEntry> &entries, std::size_t count) -> void
{
    const auto newestFirst = [](const DigestEntry &a, const DigestEntry &b) {
        return a.age != b.age ? a.age < b.age : a.upstream < b.upstream;
    };
    const auto kept = std::min(count, entries.size());
    std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(kept),
                      entries.end(), newestFirst);
    entries.resize(kept);
}

auto isNews(const DigestEntry &entry, const std::vector<DigestEntry> &known) -> bool
{
    return std::none_of(known.begin(), known.end(), [&entry](const DigestEntry &each) {
        return each.upstream == entry.upstream && !isNewer(entry, each);
    });
}

} // namespace

auto isNewer(const DigestEntry &candidate, const DigestEntry &stored) -> bool
{
    if (candidate.incarnation != stored.incarnation)
        return candidate.incarnation > stored.incarnation;
    return candidate.version > stored.version;
}

auto PoolLoad::mean() const -> double
{
    return slots == 0 ? 0.0 : static_cast<double>(load) / static_cast<double>(slots);
}

auto loadBound(const PoolLoad &pool, std::uint32_t slots, double multiple) -> std::uint32_t
{
    if (pool.slots == 0)
        return std::max(1U, slots);
    const auto meanAfter = static_cast<double>(pool.load + 1) / static_cast<double>(pool.slots);
    const auto bound = std::ceil(multiple * meanAfter * static_cast<double>(slots));
    return std::max(1U, static_cast<std::uint32_t>(bound));
}

LoadTable::LoadTable(Duration lifetime)
    : lifetime_(lifetime)
{ }

auto LoadTable::apply(const std::vector<DigestEntry> &entries, Instant now) -> std::size_t
{
    std::size_t taken = 0;
    for (const auto &entry : entries) {
        if (entry.upstream == 0 || entry.age > lifetime_)
            continue;
        const auto stored = entries_.find(entry.upstream);
        if (stored != entries_.end() && !isNewer(entry, stored->second.entry))
            continue;
        entries_[entry.upstream] = StoredEntry{entry, now - entry.age};
        ++taken;
    }
    return taken;
}

auto LoadTable::find(UpstreamId upstream, Instant now) const -> std::optional<DigestEntry>
{
    const auto stored = entries_.find(upstream);
    if (stored == entries_.end())
        return std::nullopt;
    auto entry = stored->second.entry;
    entry.age = now - stored->second.madeAt;
    if (entry.age > lifetime_)
        return std::nullopt;
    return entry;
}

auto LoadTable::poolLoad(const Pool &pool, Instant now) const -> PoolLoad
{
    PoolLoad sum;
    for (const auto &member : pool.members) {
        const auto entry = find(member.id, now);
        if (!entry || entry->state != UpstreamState::Serving)
            continue;
        ++sum.members;
        sum.load += entry->running + entry->waiting;
        sum.slots += entry->slots;
        sum.running += entry->running;
    }
    return sum;
}

auto LoadTable::newestEntries(std::size_t count, Instant now) const -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> entries;
    entries.reserve(entries_.size());
    for (const auto &[id, stored] : entries_) {
        auto entry = stored.entry;
        entry.age = now - stored.madeAt;
        if (entry.age <= lifetime_)
            entries.push_back(entry);
    }
    keepNewest(entries, count);
    return entries;
}

auto LoadTable::newestEntriesOf(const Pool &pool, const std::vector<DigestEntry> &known,
                                std::size_t count, Instant now) const -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> entries;
    for (const auto &member : pool.members) {
        const auto entry = find(member.id, now);
        if (entry && isNews(*entry, known))
            entries.push_back(*entry);
    }
    keepNewest(entries, count);
    return entries;
}

auto LoadTable::expire(Instant now) -> void
{
    std::erase_if(entries_, [&](const auto &item) { return now - item.second.madeAt > lifetime_; });
}

} // namespace applehatch::core
