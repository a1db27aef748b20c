/// The answers of the plain service's stand-in: a function of the call alone.
#pragma once

#include <cstddef>
#include <string>

namespace applehatch::emulator {

/// The answer to one call, so that a caller can tell its own whole answer from any other.
[[nodiscard]] auto serviceAnswer(const std::string &method, const std::string &path,
                                 const std::string &body, std::size_t pad = 0) -> std::string;

} // namespace applehatch::emulator
