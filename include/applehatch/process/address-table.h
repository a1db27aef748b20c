/// Network addresses of upstreams and their sidecars, as given by the settings in force.
#pragma once

#include "applehatch/core/identity.h"

#include <map>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace applehatch::process {

/// Maps upstream ids to addresses. Thread-safe; the lock is held only during lookups and updates.
class AddressTable
{
public:
    /// Replaces the members with those of `settings` and returns the sidecar addresses that members
    /// moved away from and that no other member uses. A member that the settings no longer name is
    /// kept until `forget` is called: it may still be sending answers, and closing its link would
    /// cut them off.
    [[nodiscard]] auto update(const settings::Settings &settings) -> std::vector<core::Address>;

    /// Returns the members that are kept although the settings no longer name them.
    [[nodiscard]] auto retired() const -> std::vector<core::UpstreamId>;

    /// Removes a retired member; has no effect on any other member.
    auto forget(core::UpstreamId upstream) -> void;

    /// Returns the address of the sidecar's links, or nothing when the upstream is unknown.
    [[nodiscard]] auto sidecar(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// Returns the sidecar's address for digests, or nothing when the upstream is unknown.
    [[nodiscard]] auto digest(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// Returns the address of the engine or plain service itself; used only for KV cache handoff.
    [[nodiscard]] auto upstream(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// Returns the upstream whose sidecar listens at `address`, or 0 when there is none.
    [[nodiscard]] auto upstreamAt(const core::Address &address) const -> core::UpstreamId;

private:
    using Key = std::pair<std::string, std::uint16_t>;

    [[nodiscard]] static auto keyOf(const settings::Member &member) -> Key;
    [[nodiscard]] auto find(core::UpstreamId upstream,
                            core::Address settings::Member::*address) const
        -> std::optional<core::Address>;

    mutable std::shared_mutex mutex_;
    std::unordered_map<core::UpstreamId, settings::Member> members_;
    std::map<Key, core::UpstreamId> byAddress_;
    std::set<core::UpstreamId>
        retired_; ///< Members of `members_` that the settings no longer name.
};

} // namespace applehatch::process
