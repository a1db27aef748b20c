#include "slopes.h"

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <limits>

namespace applehatch::bench {

namespace {

constexpr int repetitions = 3;

} // namespace

auto fitLine(const std::vector<Point> &points) -> Fit
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanCost = 0;
    for (const auto &point : points) {
        meanSize += point.size / count;
        meanCost += point.cost / count;
    }
    double sizes = 0;
    double costs = 0;
    double both = 0;
    for (const auto &point : points) {
        sizes += (point.size - meanSize) * (point.size - meanSize);
        costs += (point.cost - meanCost) * (point.cost - meanCost);
        both += (point.size - meanSize) * (point.cost - meanCost);
    }
    Fit fit;
    fit.slope = sizes == 0 ? 0 : both / sizes;
    fit.intercept = meanCost - fit.slope * meanSize;
    double unexplained = 0;
    for (const auto &point : points) {
        const auto off = point.cost - fit.at(point.size);
        unexplained += off * off;
        if (point.cost != 0)
            fit.worstRelative = std::max(fit.worstRelative, std::abs(off / point.cost));
    }
    fit.r2 = costs == 0 ? 1 : 1 - unexplained / costs;
    return fit;
}

auto printSlope(const SlopeName &name, const std::vector<Point> &points) -> Fit
{
    const auto fit = fitLine(points);
    nlohmann::ordered_json line{{"slope", name.name}, {"size", name.size}, {"cost", name.cost}};
    for (const auto &point : points)
        line["points"].push_back({point.size, point.cost});
    line["intercept"] = fit.intercept;
    line["per"] = fit.slope;
    line["r2"] = fit.r2;
    line["worst"] = fit.worstRelative;
    line["full"] = name.full;
    line["atFull"] = fit.at(name.full);
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
    return fit;
}

auto measureSlope(const SlopeName &name, const std::vector<std::size_t> &sizes,
                  const std::function<double(std::size_t)> &cost) -> Fit
{
    std::vector<Point> points;
    points.reserve(sizes.size());
    for (const auto size : sizes)
        points.push_back({static_cast<double>(size), cost(size)});
    return printSlope(name, points);
}

auto processorTime() -> std::chrono::nanoseconds
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

auto microsecondsOf(const std::function<void()> &work) -> double
{
    auto least = std::numeric_limits<double>::max();
    for (int i = 0; i < repetitions; ++i) {
        const auto begin = processorTime();
        work();
        const std::chrono::duration<double, std::micro> taken = processorTime() - begin;
        least = std::min(least, taken.count());
    }
    return least;
}

auto heapBytes() -> std::size_t
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

auto poolOf(std::size_t members, const std::string &name) -> core::Pool
{
    constexpr std::size_t dataCenters = 7;
    core::Pool pool;
    pool.team = "ledger";
    pool.name = name;
    pool.models = {"model-" + name};
    for (std::size_t i = 0; i < members; ++i) {
        settings::Member member;
        member.name = "eng-" + std::to_string(i);
        member.id = settings::upstreamId(pool.team, pool.name, member.name);
        member.dataCenter = "dc-" + std::to_string(i % dataCenters);
        member.sidecar.ip = "10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1);
        member.slots = 8;
        pool.members.push_back(member);
    }
    return pool;
}

auto settingsOf(const std::vector<core::Pool> &pools, std::size_t customers) -> core::SettingsPtr
{
    auto team = std::make_shared<settings::Team>();
    team->name = "ledger";
    team->index = 1;
    for (const auto &pool : pools)
        team->pools[pool.name] = pool;
    for (std::size_t i = 0; i < customers; ++i) {
        const auto name = "customer-" + std::to_string(i);
        team->customers[name] = {name, 1.0, 0};
    }
    auto made = std::make_shared<settings::Settings>();
    made->index = 1;
    made->teams["ledger"] = team;
    return made;
}

auto entriesOf(const core::Pool &pool) -> std::vector<core::DigestEntry>
{
    std::vector<core::DigestEntry> entries;
    std::uint32_t number = 0;
    for (const auto &member : pool.members) {
        core::DigestEntry entry;
        entry.upstream = member.id;
        entry.incarnation = 1764712800000000 + number;
        entry.version = 3000 + ++number;
        entry.running = number % member.slots;
        entry.slots = member.slots;
        entry.state = core::UpstreamState::Serving;
        entry.age = std::chrono::milliseconds(number % 5000);
        entries.push_back(entry);
    }
    return entries;
}

} // namespace applehatch::bench
