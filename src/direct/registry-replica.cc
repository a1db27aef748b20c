#include "applehatch/direct/registry-replica.h"

#include <algorithm>
#include <set>

namespace applehatch::direct {

auto RegistryReplica::noteLost() -> void
{
    reachable_ = false;
}

auto RegistryReplica::noteRegained(Instant now) -> void
{
    if (reachable_)
        return;
    reachable_ = true;
    settledAt_ = now + settleTime;
}

auto RegistryReplica::apply(const RegistrySnapshot &snapshot, Instant now) -> bool
{
    if (snapshot.revision < revision_)
        return false;
    revision_ = snapshot.revision;
    std::set<std::string> present;
    for (const auto &item : snapshot.items) {
        present.insert(item.key);
        auto &entry = items_[item.key];
        if (entry.revision <= item.revision)
            entry = {item.value, item.revision, std::nullopt};
    }
    std::vector<std::string> missing;
    for (const auto &[key, entry] : items_) {
        if (!present.contains(key) && entry.revision <= snapshot.revision)
            missing.push_back(key);
    }
    for (const auto &key : missing)
        remove(key, now);
    // Entries that were both added and removed between the two snapshots are not known here.
    removals_.clear();
    historySince_ = snapshot.revision;
    return true;
}

auto RegistryReplica::apply(const std::vector<RegistryChange> &changes, std::uint64_t revision,
                            Instant now) -> bool
{
    auto changed = false;
    for (const auto &change : changes) {
        const auto found = items_.find(change.item.key);
        const auto isOld = found != items_.end() && found->second.revision >= change.item.revision;
        if (isOld)
            continue;
        changed = true;
        if (change.removed) {
            remove(change.item.key, now);
            noteRemoved(change.item.key, change.item.revision);
        } else {
            items_[change.item.key] = {change.item.value, change.item.revision, std::nullopt};
        }
    }
    revision_ = std::max(revision_, revision);
    return changed;
}

auto RegistryReplica::apply(const RegistryDelta &delta, Instant now) -> bool
{
    if (delta.since > revision_ || delta.revision <= revision_)
        return false;
    if (delta.since > 0)
        return apply(delta.changes, delta.revision, now);
    RegistrySnapshot whole{delta.revision, {}};
    for (const auto &change : delta.changes) {
        if (!change.removed)
            whole.items.push_back(change.item);
    }
    return apply(whole, now);
}

auto RegistryReplica::noteRemoved(const std::string &key, std::uint64_t revision) -> void
{
    removals_.push_back({key, revision});
    if (removals_.size() <= maxRemovals)
        return;
    historySince_ = std::max(historySince_, removals_.front().revision);
    removals_.pop_front();
}

auto RegistryReplica::remove(const std::string &key, Instant now) -> bool
{
    const auto found = items_.find(key);
    if (found == items_.end())
        return false;
    const auto mayLapse = !isLeased_ || isLeased_(key);
    const auto maybeBack = mayLapse && (!reachable_ || now < settledAt_);
    if (!maybeBack) {
        items_.erase(found);
        return true;
    }
    if (!found->second.doubtfulUntil)
        found->second.doubtfulUntil = std::max(settledAt_, now);
    return true;
}

auto RegistryReplica::expire(Instant now) -> bool
{
    if (!reachable_)
        return false;
    return std::erase_if(items_,
                         [now](const auto &entry) {
                             return entry.second.doubtfulUntil
                                 && *entry.second.doubtfulUntil <= now;
                         })
        > 0;
}

auto RegistryReplica::deltaSince(std::uint64_t revision) const -> RegistryDelta
{
    if (revision > revision_)
        return {revision, revision_, {}};
    const auto isKnown = revision > 0 && revision >= historySince_;
    RegistryDelta delta{isKnown ? revision : 0, revision_, {}};
    for (const auto &[key, entry] : items_) {
        if (!entry.doubtfulUntil && entry.revision > delta.since)
            delta.changes.push_back({{key, entry.value, entry.revision}, false});
    }
    if (!isKnown)
        return delta;
    for (const auto &removal : removals_) {
        const auto item = items_.find(removal.key);
        const auto isBack = item != items_.end() && !item->second.doubtfulUntil;
        if (removal.revision > revision && !isBack)
            delta.changes.push_back({{removal.key, {}, removal.revision}, true});
    }
    return delta;
}

} // namespace applehatch::direct
