/// The checked reading of what experiments and loads have in common.
#pragma once

#include "measures-workload.h"
#include "settings/reader.h"

#include <functional>
#include <string>

namespace applehatch::experiment {

inline constexpr std::size_t mostPlanBytes = 1000000;

/// Weights and limits as in a team's settings.
auto readCustomers(settings::ObjectReader &root, settings::Report &report, Deployment &into)
    -> void;

/// Chats and calls; customers must have been read.
auto readWorkload(settings::ObjectReader &root, settings::Report &report, Deployment &into) -> void;
auto readSurges(settings::ObjectReader &root, settings::Report &report, Deployment &into) -> void;

/// The key `seconds`, at least `least` and at most an hour.
auto readLength(settings::ObjectReader &root, std::chrono::seconds least,
                std::chrono::seconds &into) -> void;

/// A whole number into a member of any integral type.
template <typename Number>
auto readWhole(settings::ObjectReader &reader, const std::string &key, settings::Need need,
               settings::Range<std::uint32_t> range, Number &into) -> void
{
    auto value = static_cast<std::uint32_t>(into);
    reader.integer(key, need, range, value);
    into = static_cast<Number>(value);
}

auto readPause(settings::ObjectReader &reader, const std::string &key, milliseconds &into) -> void;

/// Hands each element of an array to `read`, with its path.
auto readEach(settings::ObjectReader &root, const std::string &key, settings::Need need,
              const std::function<void(const settings::Json &, const std::string &)> &read) -> void;

} // namespace applehatch::experiment
