/// The last known contents of the platform's registry, received from the registry itself or from a
/// peer.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace applehatch::direct {

/// An entry of the registry; its key and value are interpreted by the adapter.
struct RegistryItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Revision of its last change.
    std::uint64_t created = 0;  ///< Revision at which it was created; 0 if not told.
};

/// A change reported by the registry.
struct RegistryChange
{
    RegistryItem item;
    bool removed = false;
};

/// All entries as of a revision.
struct RegistrySnapshot
{
    std::uint64_t revision = 0;
    std::vector<RegistryItem> items;
};

/// The changes after `since` up to `revision`; all entries if `since` is 0.
struct RegistryDelta
{
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<RegistryChange> changes;
};

/// The changes that the registry still held when a router asked for its past.
struct RegistryHistory
{
    std::vector<RegistryChange> changes; ///< Oldest first.
    Duration reach{0};                   ///< No change of this long before is missing.
    std::uint32_t calls = 0;             ///< Made to find it.
    std::uint64_t since = 0;             ///< No change after this revision is missing.
};

/// An entry that is currently in force.
struct ReplicaItem
{
    std::string value;
    std::uint64_t revision = 0;
    /// Set when the entry is missing after an outage of the registry; it stays in force until this
    /// time.
    std::optional<Instant> doubtfulUntil;
};

/// A local copy of the registry's entries that survives outages of the registry.
///
/// Entries expire while the registry is unreachable, because nobody can renew them, and their
/// owners write them again just after it returns. Dropping them at once would leave the router
/// without a single upstream for two seconds, and every caller would be refused. They are kept as
/// doubtful for `settleTime` and then dropped.
class RegistryReplica
{
public:
    /// The platform guarantees that live entries are restored about two seconds after its return.
    static constexpr Duration settleTime = std::chrono::milliseconds(1950);

    using IsLeased = std::function<bool(std::string_view key)>;

    /// Only leased entries lapse while the registry is away; without a function, all may.
    explicit RegistryReplica(IsLeased isLeased = {})
        : isLeased_(std::move(isLeased))
    { }

    /// Records that the registry did not answer this process.
    auto noteLost() -> void;
    /// Records that the registry answers again.
    auto noteRegained(Instant now) -> void;
    [[nodiscard]] auto reachable() const -> bool { return reachable_; }

    /// Applies all entries; a revision older than the current one changes nothing and gives false.
    auto apply(const RegistrySnapshot &snapshot, Instant now) -> bool;
    /// Applies changes up to `revision`; returns true if any was new.
    auto apply(const std::vector<RegistryChange> &changes, std::uint64_t revision, Instant now)
        -> bool;
    /// Applies the changes received from a peer. Changes that begin after the current revision
    /// would leave a gap and are ignored.
    auto apply(const RegistryDelta &delta, Instant now) -> bool;
    /// Drops entries that stayed doubtful for too long; returns true if there were any.
    auto expire(Instant now) -> bool;

    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    [[nodiscard]] auto items() const -> const std::map<std::string, ReplicaItem> &
    {
        return items_;
    }
    /// Returns what a peer at `revision` needs: the changes since then, or all entries if those
    /// changes are no longer known; nothing for a newer revision than this one's. Entries that are
    /// doubtful count as removed.
    [[nodiscard]] auto deltaSince(std::uint64_t revision) const -> RegistryDelta;

private:
    /// Maximum number of removals remembered for peers, at about 100 bytes each. A fleet that loses
    /// its 730 upstreams at once fits.
    static constexpr std::size_t maxRemovals = 1024;

    struct Removal
    {
        std::string key;
        std::uint64_t revision = 0;
    };

    auto remove(const std::string &key, Instant now) -> bool;
    auto noteRemoved(const std::string &key, std::uint64_t revision) -> void;

    IsLeased isLeased_;
    bool reachable_ = true;
    Instant settledAt_; ///< Until then a missing entry may be written again shortly.
    std::uint64_t revision_ = 0;
    std::map<std::string, ReplicaItem> items_;
    std::deque<Removal> removals_;   // Oldest first.
    std::uint64_t historySince_ = 0; // Every later change is in `items_` or `removals_`.
};

} // namespace applehatch::direct
