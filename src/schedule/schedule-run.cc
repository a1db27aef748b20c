// Runs many random schedules, or one again: schedule-run KIND FIRST_SEED COUNT
#include "applehatch/schedule/kinds.h"

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using namespace applehatch::schedule;

constexpr int usageStatus = 2;

struct Totals
{
    std::mutex mutex;
    std::uint64_t schedules = 0;
    std::uint64_t answers = 0;
    std::uint64_t whole = 0;
    std::uint64_t broken = 0;
    std::map<std::string_view, std::uint64_t> failures;
};

auto runOne(const Faults &faults, std::uint64_t seed, Totals &totals) -> void
{
    Shape shape;
    shape.seed = seed;
    shape.faults = faults;
    World world(shape);
    const auto &history = world.run();
    const auto broken = violations(history);
    const std::lock_guard lock(totals.mutex);
    ++totals.schedules;
    totals.answers += history.answers.size();
    for (const auto &answer : history.answers) {
        totals.whole += answer.whole ? 1 : 0;
        if (answer.failure)
            ++totals.failures[answerFor(answer.failure->kind).name];
    }
    totals.broken += broken.size();
    for (const auto &rule : broken)
        std::cout << "seed=" << seed << ' ' << rule << '\n';
}

auto runAll(const Faults &faults, std::uint64_t first, std::uint64_t count, Totals &totals) -> void
{
    std::atomic<std::uint64_t> next = first;
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency() / 2); ++i) {
        workers.emplace_back([&] {
            for (auto seed = next++; seed < first + count; seed = next++)
                runOne(faults, seed, totals);
        });
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto kind = argc == 4 ? findKind(argv[1]) : std::nullopt;
    if (!kind) {
        std::cerr << "usage: schedule-run KIND FIRST_SEED COUNT\nkinds:";
        for (const auto &known : kinds())
            std::cerr << ' ' << known.name;
        std::cerr << '\n';
        return usageStatus;
    }
    Totals totals;
    runAll(kind->faults, std::strtoull(argv[2], nullptr, 10), std::strtoull(argv[3], nullptr, 10),
           totals);
    std::cout << "kind=" << kind->name << " schedules=" << totals.schedules
              << " answers=" << totals.answers << " whole=" << totals.whole
              << " violations=" << totals.broken;
    for (const auto &[name, count] : totals.failures)
        std::cout << ' ' << name << '=' << count;
    std::cout << '\n';
    return totals.broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
