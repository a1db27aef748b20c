/// When a process reads the platform's host list.
#pragma once

#include "applehatch/core/load-table.h"

#include <cstdint>

namespace applehatch::core {

/// Spaces out a process's own reads of the host list.
///
/// The platform takes some 2,000 calls a second from all processes for all it publishes; one read a
/// second of each would be more than half of that. The longest wait bounds how long a leaving host
/// stays unknown here, and needs neither peers nor digests for it.
class HostListPace
{
public:
    explicit HostListPace(std::uint64_t seed);

    /// The wait until the next read, counted from the end of the one before or from the start.
    [[nodiscard]] auto wait() -> Duration;

    /// True when the next read should ask for the whole list whatever version is held.
    ///
    /// A platform that was set up anew counts from 1 again, and may stand at just the version held
    /// here with other hosts; a process that asks by version alone would keep the old ones.
    [[nodiscard]] auto wantsWhole() const -> bool;

    auto succeeded() -> void;
    auto failed() -> void;

    /// Of waits after a read that succeeded.
    static constexpr Duration longestWait = std::chrono::seconds(3);

private:
    enum class Last {
        None,
        Read,
        FirstFailure, ///< After a read; tried again soon.
        Failure,
    };

    Random random_;
    Last last_ = Last::None;
    unsigned readsSinceWhole_;
};

} // namespace applehatch::core
