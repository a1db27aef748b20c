/// Where upstreams' sidecars can be reached, by the settings in force.
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

/// Thread-safe; its lock is held around look-ups only.
class AddressBook
{
public:
    /// Takes the members of `settings`; gives the sidecar addresses that members have left for
    /// others. A member that the settings no longer name stays known until it is forgotten: answers
    /// under way still come from it, and a link that was closed on them would cut them off.
    [[nodiscard]] auto update(const settings::Settings &settings) -> std::vector<core::Address>;

    /// The members that the settings no longer name.
    [[nodiscard]] auto retired() const -> std::vector<core::UpstreamId>;

    /// Ends the memory of a retired member; nothing for any other.
    auto forget(core::UpstreamId upstream) -> void;

    [[nodiscard]] auto sidecar(core::UpstreamId upstream) const -> std::optional<core::Address>;
    [[nodiscard]] auto digest(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// The engine or plain service itself; for KV cache handoff only.
    [[nodiscard]] auto upstream(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// The upstream whose sidecar listens at `address`; 0 when unknown.
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
    std::set<core::UpstreamId> retired_; ///< Members that are kept beside those of the settings.
};

} // namespace applehatch::process
