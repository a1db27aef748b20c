/// Where upstreams' sidecars can be reached, by the settings in force.
#pragma once

#include "applehatch/core/identity.h"

#include <map>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace applehatch::process {

/// Thread-safe; its lock is held around look-ups only.
class AddressBook
{
public:
    /// Takes the members of `settings`; gives the sidecar addresses that are no longer used.
    [[nodiscard]] auto update(const settings::Settings &settings) -> std::vector<core::Address>;

    [[nodiscard]] auto sidecar(core::UpstreamId upstream) const -> std::optional<core::Address>;
    [[nodiscard]] auto digest(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// The engine or plain service itself; for KV cache handoff only.
    [[nodiscard]] auto upstream(core::UpstreamId upstream) const -> std::optional<core::Address>;

    /// The upstream whose sidecar listens at `address`; 0 when unknown.
    [[nodiscard]] auto upstreamAt(const core::Address &address) const -> core::UpstreamId;

private:
    using Key = std::pair<std::string, std::uint16_t>;

    [[nodiscard]] auto find(core::UpstreamId upstream,
                            core::Address settings::Member::*address) const
        -> std::optional<core::Address>;

    mutable std::shared_mutex mutex_;
    std::unordered_map<core::UpstreamId, settings::Member> members_;
    std::map<Key, core::UpstreamId> byAddress_;
};

} // namespace applehatch::process
