/// The last known contents of the platform's registry, from the registry itself or from a peer.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstdint>
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
    /// Drops what stayed doubtful for too long; true when something was.
    auto expire(Instant now) -> bool;

    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    [[nodiscard]] auto items() const -> const std::map<std::string, HeldItem> & { return items_; }
    /// What a peer is given.
    [[nodiscard]] auto snapshot() const -> RegistrySnapshot;

private:
    auto remove(const std::string &key, Instant now) -> bool;

    bool reachable_ = true;
    Instant settledAt_; ///< Until then a missing entry may be back in a moment.
    std::uint64_t revision_ = 0;
    std::map<std::string, HeldItem> items_;
};

} // namespace applehatch::direct
