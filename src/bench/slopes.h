/// Slopes of cost over size: measured points, the straight line through them, its error.
#pragma once

#include "applehatch/core/load-table.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace applehatch::bench {

/// One measured point.
struct Point
{
    double size = 0;
    double cost = 0;
};

/// The line `intercept + slope * size` through points, by least squares.
struct Fit
{
    double intercept = 0;
    double slope = 0;
    double r2 = 0;            ///< 1 when the line explains all of the variance.
    double worstRelative = 0; ///< Largest distance of a point from the line over the point.

    [[nodiscard]] auto at(double size) const -> double { return intercept + slope * size; }
};

[[nodiscard]] auto fitLine(const std::vector<Point> &points) -> Fit;

/// What a slope is about.
struct SlopeName
{
    std::string name; ///< Such as `router.tick`.
    std::string size; ///< What grows, such as `members`.
    std::string cost; ///< With its unit, such as `us_per_second`.
    double full = 0;  ///< The size that the users name, or one derived from it.
};

/// Prints one JSON line with points, fit and the figure at full size.
auto printSlope(const SlopeName &name, const std::vector<Point> &points) -> Fit;

/// Measures the cost at each size and prints the slope.
auto measureSlope(const SlopeName &name, const std::vector<std::size_t> &sizes,
                  const std::function<double(std::size_t)> &cost) -> Fit;

/// Processor time of this process so far.
[[nodiscard]] auto processorTime() -> std::chrono::nanoseconds;

/// Microseconds of processor time that `work` takes; the least of a few runs, as noise only adds.
[[nodiscard]] auto microsecondsOf(const std::function<void()> &work) -> double;

/// Bytes that the allocator has given out and not got back.
[[nodiscard]] auto heapBytes() -> std::size_t;

/// Heap bytes that what `make` gives holds on to.
template <typename Make>
[[nodiscard]] auto heapOf(const Make &make) -> double
{
    const auto before = static_cast<double>(heapBytes());
    [[maybe_unused]] const auto held = make();
    return static_cast<double>(heapBytes()) - before;
}

/// A pool of `members` spread over seven data centres, with 8 slots each.
[[nodiscard]] auto poolOf(std::size_t members, const std::string &name = "drafting") -> core::Pool;

/// Settings with these pools in one team and `customers` customers.
[[nodiscard]] auto settingsOf(const std::vector<core::Pool> &pools, std::size_t customers = 10)
    -> core::SettingsPtr;

/// A serving entry of every member of `pool`.
[[nodiscard]] auto entriesOf(const core::Pool &pool) -> std::vector<core::DigestEntry>;

auto measureLoadPlane() -> void;
auto measureLinks() -> void;
auto measureTables() -> void;
auto measureSettings() -> void;
auto measureTokens() -> void;
auto measureRouting() -> void;
auto measurePlatform() -> void;

} // namespace applehatch::bench
