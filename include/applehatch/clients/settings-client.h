/// The platform's configuration service and host list, read over HTTP.
#pragma once

#include "applehatch/core/membership.h"
#include "applehatch/core/settings-replica.h"

#include <atomic>
#include <optional>
#include <system_error>

namespace applehatch::clients {

/// Reads the configuration service: a key-value tree with blocking queries.
class SettingsClient
{
public:
    explicit SettingsClient(core::Address service);

    /// One recursive read of `teams/`. With `waitFor`, blocks for up to `wait` until the index
    /// exceeds it, and accepts the answer `unchanged` when it does not. Errors:
    /// `std::errc::timed_out`, `std::errc::connection_refused`, `std::errc::bad_message`,
    /// `std::errc::operation_canceled`.
    [[nodiscard]] auto read(std::optional<core::SettingsIndex> waitFor, core::Duration wait,
                            core::SettingsRead &into) const -> std::error_code;

    /// Cancels the current read within 100 ms, and every later one.
    auto stop() -> void { stopped_ = true; }

private:
    core::Address service_;
    std::atomic<bool> stopped_{false};
};

/// Reads the platform's list of live and draining hosts.
class HostListClient
{
public:
    explicit HostListClient(core::Address service);

    /// Updates `into` within `timeout`; leaves it unchanged on any error. The request is
    /// conditional on the version of the list read before, which changes a few hundred times a day:
    /// at full size a whole list has 38.7 KB, and control traffic may take 3 KB a second. Version 0
    /// requests the whole list.
    [[nodiscard]] auto read(core::Duration timeout, core::HostList &into) const -> std::error_code;

private:
    core::Address service_;
};

} // namespace applehatch::clients
