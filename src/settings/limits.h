/// Ranges and defaults of settings that more than one file needs.
#pragma once

#include "reader.h"

namespace applehatch::settings {

/// The configuration service holds values up to a megabyte.
inline constexpr std::size_t maxTextBytes = 1000000;

inline constexpr std::uint32_t mostDeadlineMs = 3600000;
inline constexpr std::uint32_t mostWindowMs = 86400000;
inline constexpr std::uint32_t mostQueueLimit = 100000;
inline constexpr std::uint32_t mostInFlight = 100000;
inline constexpr std::uint32_t mostSlots = 65536;
inline constexpr std::uint32_t mostRolloutWidth = 1000;
inline constexpr Range<double> loadMultipleRange{1.0, 10.0};
inline constexpr Range<double> retryBudgetRange{0.0, 1.0};
inline constexpr Range<double> weightRange{0.001, 1000.0};

} // namespace applehatch::settings
