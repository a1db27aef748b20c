/// Memory that was freed and goes back to the system.
#pragma once

#include <algorithm>
#include <cstddef>

namespace applehatch::telemetry {

/// Lets large blocks go back to the system as soon as they are freed, however large the blocks
/// were that were freed before. To be called once, before threads are started.
auto returnLargeBlocks() -> void;

/// Gives freed memory back to the system. Small blocks that are still in use would otherwise keep
/// what was freed between them.
auto trimHeap() -> void;

/// Trims the heap when much less is kept than before.
class HeapTrimmer
{
public:
    /// Takes note of what is kept now. Trims the heap if it is less than at any time since the last
    /// trim by `step` or more.
    auto note(std::size_t kept, std::size_t step) -> void
    {
        peak_ = std::max(peak_, kept);
        if (peak_ - kept < step)
            return;
        peak_ = kept;
        trimHeap();
    }

private:
    std::size_t peak_ = 0;
};

} // namespace applehatch::telemetry
