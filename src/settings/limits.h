/// Ranges of settings that more than one source file needs.
#pragma once

#include "reader.h"

namespace applehatch::settings {

/// The configuration service stores values of up to a megabyte.
inline constexpr std::size_t maxTextBytes = 1000000;

inline constexpr std::uint32_t maxDeadlineMs = 3600000;
inline constexpr std::uint32_t maxWindowMs = 86400000;
inline constexpr std::uint32_t maxQueueLimit = 100000;
inline constexpr std::uint32_t maxInFlight = 100000;
inline constexpr std::uint32_t maxSlots = 65536;
inline constexpr std::uint32_t maxRolloutWidth = 1000;
inline constexpr Range<double> loadMultipleRange{1.0, 10.0};
inline constexpr Range<double> retryBudgetRange{0.0, 1.0};
inline constexpr Range<double> weightRange{0.001, 1000.0};

} // namespace applehatch::settings
