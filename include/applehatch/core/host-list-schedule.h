/// Schedule of a process's reads of the platform's host list.
#pragma once

#include "applehatch/core/load-table.h"

#include <cstdint>

namespace applehatch::core {

/// Spaces out a process's own reads of the host list.
///
/// The platform accepts some 2,000 calls per second from all processes for everything it publishes.
/// One read per second from each process would be more than half of that. The maximum wait bounds
/// how long a leaving host stays unknown to this process, without help from peers or digests.
class HostListSchedule
{
public:
    explicit HostListSchedule(std::uint64_t seed);

    /// The wait until the next read, counted from the end of the previous read or, for the first
    /// one, from the start of the process.
    [[nodiscard]] auto nextWait() -> Duration;

    /// True when the next read should ask for the whole list whatever version is known.
    ///
    /// A platform that was reinstalled counts versions from 1 again and may reach the version known
    /// here with different hosts. A process that asks by version alone would keep the old hosts.
    [[nodiscard]] auto needsFullRead() const -> bool;

    auto succeeded() -> void;
    auto failed() -> void;

    /// Maximum wait after a read that succeeded.
    static constexpr Duration maxWait = std::chrono::seconds(3);

private:
    enum class Last {
        None,
        Read,
        FirstFailure, ///< The first failure after a successful read; retried soon.
        Failure,
    };

    Random random_;
    Last last_ = Last::None;
    unsigned readsSinceFullRead_;
};

} // namespace applehatch::core
