#include "applehatch/direct/registry-readers.h"

#include <algorithm>

namespace applehatch::direct {

auto RegistryReaders::decide(const std::vector<std::uint64_t> &readers, Instant now) -> bool
{
    const auto before = static_cast<std::size_t>(std::count_if(
        readers.begin(), readers.end(), [this](std::uint64_t rank) { return rank < ownRank_; }));
    if (before < wanted) {
        spareSince_.reset();
        reads_ = true;
        return reads_;
    }
    if (!spareSince_)
        spareSince_ = now;
    const auto isNew = now - startedAt_ <= startsWithin;
    if (isNew || now - *spareSince_ >= stopsAfter)
        reads_ = false;
    return reads_;
}

} // namespace applehatch::direct
