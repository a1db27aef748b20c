/// A bounded map from hashes to values that expire.
#pragma once

#include "applehatch/core/identity.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace applehatch::core {

/// Holds at most `capacity` values; a new value evicts the one that was put first.
template <typename Value>
class ExpiringMap
{
public:
    explicit ExpiringMap(std::size_t capacity)
        : capacity_(capacity)
    { }

    /// Sets the value of `key`, makes it the newest and lets it expire at `until`.
    auto put(std::uint64_t key, Value value, Instant until) -> void
    {
        erase(key);
        entries_.push_back({key, std::move(value), until});
        index_[key] = std::prev(entries_.end());
        if (entries_.size() > capacity_)
            evictOldest();
    }

    /// Returns the value of `key`, or null if it is missing or expired. The pointer is valid until
    /// the map changes.
    [[nodiscard]] auto find(std::uint64_t key, Instant now) const -> const Value *
    {
        const auto found = index_.find(key);
        if (found == index_.end() || found->second->until <= now)
            return nullptr;
        return &found->second->value;
    }

    auto erase(std::uint64_t key) -> bool
    {
        const auto found = index_.find(key);
        if (found == index_.end())
            return false;
        entries_.erase(found->second);
        index_.erase(found);
        return true;
    }

    /// Drops expired values.
    auto expire(Instant now) -> void
    {
        std::erase_if(index_, [now](const auto &item) { return item.second->until <= now; });
        entries_.remove_if([now](const Entry &entry) { return entry.until <= now; });
    }

    /// Drops expired values in at most `maxBuckets` hash buckets, continuing where the last call
    /// stopped.
    ///
    /// A scan of a whole large map would hold its owner's lock long enough to delay streams. A
    /// value that a rehash moves behind the current position is visited in the next round.
    auto expireSome(Instant now, std::size_t maxBuckets) -> void
    {
        std::vector<std::uint64_t> expired;
        const auto buckets = index_.bucket_count();
        for (std::size_t visited = 0; visited < std::min(maxBuckets, buckets); ++visited) {
            visitedBucket_ = visitedBucket_ + 1 < buckets ? visitedBucket_ + 1 : 0;
            for (auto item = index_.begin(visitedBucket_); item != index_.end(visitedBucket_);
                 ++item) {
                if (item->second->until <= now)
                    expired.push_back(item->first);
            }
        }
        for (const auto key : expired)
            erase(key);
    }

    /// Calls `visit` with each value that has not expired.
    template <typename Visit>
    auto forEach(Instant now, Visit visit) const -> void
    {
        for (const auto &entry : entries_) {
            if (entry.until > now)
                visit(entry.value);
        }
    }

    /// Returns up to `count` keys, newest first.
    [[nodiscard]] auto newest(std::size_t count) const -> std::vector<std::uint64_t>
    {
        std::vector<std::uint64_t> keys;
        for (auto entry = entries_.rbegin(); entry != entries_.rend() && keys.size() < count;
             ++entry)
            keys.push_back(entry->key);
        return keys;
    }

    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

    /// The latest expiry of any value evicted before it expired. Until then a missing key may be an
    /// evicted one.
    [[nodiscard]] auto forgottenUntil() const -> Instant { return forgottenUntil_; }

private:
    struct Entry
    {
        std::uint64_t key;
        Value value;
        Instant until;
    };

    auto evictOldest() -> void
    {
        forgottenUntil_ = std::max(forgottenUntil_, entries_.front().until);
        index_.erase(entries_.front().key);
        entries_.pop_front();
    }

    std::size_t capacity_;
    std::list<Entry> entries_; // Oldest first.
    std::unordered_map<std::uint64_t, typename std::list<Entry>::iterator> index_;
    std::size_t visitedBucket_ = 0; // The last bucket that `expireSome` visited.
    Instant forgottenUntil_;
};

} // namespace applehatch::core
