/// What a process uses, as the system tells.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace applehatch::testing {

/// AddressSanitizer keeps what was freed for a while, so that a process's memory tells nothing.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool isFreedAtOnce = false;
#else
inline constexpr bool isFreedAtOnce = true;
#endif

inline constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

/// Memory of a process in bytes, by its name in the system's status file.
inline auto memoryOf(pid_t process, const std::string &name) -> std::size_t
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ':'))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    }
    return 0;
}

inline auto descriptorsOf(pid_t process) -> std::size_t
{
    const auto entries =
        std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace applehatch::testing
