#include "applehatch/core/identity.h"

#include <xxhash.h>

namespace applehatch::core {

namespace {

// The finalizer of splitmix64; it maps 0 to 0.
auto mixed(std::uint64_t x) -> std::uint64_t
{
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

} // namespace

// XXH3 only adds the seed to inputs of a few bytes. Without mixing the seed first, neighbouring
// inputs under neighbouring seeds collide: attempt 2 of one request would be taken for attempt 1 of
// the next.
auto stableHash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), mixed(seed));
}

} // namespace applehatch::core
