#include "applehatch/telemetry/heap.h"

#include <malloc.h>

namespace applehatch::telemetry {

auto returnLargeBlocks() -> void
{
    // The library's initial value. Once set it stays: by itself the library would raise it to the
    // size of the largest block that was freed, and carve later ones out of the heap.
    constexpr int blockBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, blockBytes);
}

auto trimHeap() -> void
{
    malloc_trim(0);
}

} // namespace applehatch::telemetry
