/// The last known contents of the platform's registry, from the registry itself or from a peer.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::direct {

/// One entry; what key and value mean is the adapter's business.
struct RegistryItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change.
};

/// A change that the registry told of.
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

/// What changed after `since`, up to `revision`; all entries where `since` is 0.
struct RegistryNews
{
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    std::vector<RegistryChange> changes;
};

/// An entry as it counts now.
struct HeldItem
{
    std::string value;
    std::uint64_t revision = 0;
    /// The entry is missing from the registry, which was away; it counts until then.
    std::optional<Instant> doubtfulUntil;
};

/// Entries lapse while the registry is away, because nobody can renew them, and their owners write
/// them anew just after its return. Dropping them at once would leave the router without a single
/// upstream for two seconds, and every caller would be refused. They are kept as doubtful for
/// `settleTime` and then dropped.
class RegistryReplica
{
public:
    /// The platform promises that live entries are back about two seconds after its return.
    static constexpr Duration settleTime = std::chrono::milliseconds(1950);

    /// The registry did not answer this process.
    auto noteLost() -> void;
    /// It answers again.
    auto noteRegained(Instant now) -> void;
    [[nodiscard]] auto reachable() const -> bool { return reachable_; }

    /// Takes all entries; an older revision than the one held changes nothing.
    auto apply(const RegistrySnapshot &snapshot, Instant now) -> bool;
    /// Takes changes up to `revision`.
    auto apply(const std::vector<RegistryChange> &changes, std::uint64_t revision, Instant now)
        -> bool;
    /// Takes what a peer told; news that begin after the revision held would leave a gap and change
    /// nothing.
    auto apply(const RegistryNews &news, Instant now) -> bool;
    /// Drops what stayed doubtful for too long; true when something was.
    auto expire(Instant now) -> bool;

    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    [[nodiscard]] auto items() const -> const std::map<std::string, HeldItem> & { return items_; }
    /// What a peer that holds `revision` is given: the changes since, or all entries where these
    /// are no longer known. Entries that lapsed count as removed.
    [[nodiscard]] auto newsSince(std::uint64_t revision) const -> RegistryNews;

private:
    /// Removals remembered for peers: some 100 bytes each. A fleet that loses its 730 upstreams at
    /// once fits.
    static constexpr std::size_t mostRemovals = 1024;

    struct Removal
    {
        std::string key;
        std::uint64_t revision = 0;
    };

    auto remove(const std::string &key, Instant now) -> bool;
    auto noteRemoved(const std::string &key, std::uint64_t revision) -> void;

    bool reachable_ = true;
    Instant settledAt_; ///< Until then a missing entry may be back in a moment.
    std::uint64_t revision_ = 0;
    std::map<std::string, HeldItem> items_;
    std::deque<Removal> removals_; // Oldest first.
    std::uint64_t knownSince_ = 0; // Every later change is in `items_` or `removals_`.
};

} // namespace applehatch::direct
