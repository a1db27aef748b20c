#include "applehatch/settings/settings.h"

#include <xxhash.h>

namespace applehatch::settings {

auto upstreamId(const std::string &team, const std::string &pool, const std::string &member)
    -> UpstreamId
{
    const auto name = team + '/' + pool + '/' + member;
    const auto hash = XXH3_64bits(name.data(), name.size());
    return hash == 0 ? 1 : hash;
}

} // namespace applehatch::settings
