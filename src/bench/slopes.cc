/// Prints the slopes of `docs/CAPACITY.md` as JSON lines: decision nodes and codec in one process,
/// in virtual time, with the processor's real clock and real bytes. A measure, not a test.
#include "slopes.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace {

using namespace applehatch::bench;

struct Subject
{
    std::string_view name;
    void (*measure)();
};

constexpr std::array subjects{
    Subject{"load", measureLoadPlane},    Subject{"links", measureLinks},
    Subject{"tables", measureTables},     Subject{"settings", measureSettings},
    Subject{"tokens", measureTokens},     Subject{"routing", measureRouting},
    Subject{"platform", measurePlatform},
};

} // namespace

/// Without arguments all subjects; else those named.
auto main(int argc, char **argv) -> int
{
    for (const auto &subject : subjects) {
        auto wanted = argc == 1;
        for (int i = 1; i < argc; ++i)
            wanted = wanted || subject.name == argv[i];
        if (wanted)
            subject.measure();
    }
    return 0;
}
