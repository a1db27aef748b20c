/// Standard output that never makes its writer wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <streambuf>
#include <string>

namespace applehatch::telemetry {

/// A stream buffer over a descriptor that may stop taking bytes.
///
/// Whoever reads a process's log may stop reading. A plain write would then hold up every request
/// of the process. Here lines wait in memory up to a bound; beyond it they are dropped and counted,
/// and a line tells how many once there is room again. Thread-safe.
class BoundedOutput : public std::streambuf
{
public:
    /// About 1,000 lines: a second of a busy router.
    static constexpr std::size_t defaultCapacity = 262144;

    explicit BoundedOutput(int descriptor, std::size_t capacity = defaultCapacity);

    [[nodiscard]] auto dropped() const -> std::uint64_t;

protected:
    auto overflow(int_type character) -> int_type override;
    auto xsputn(const char *text, std::streamsize count) -> std::streamsize override;
    /// The end of a line: hands over as much as the descriptor takes at once.
    auto sync() -> int override;

private:
    auto queueLine() -> void;
    auto writeAvailable() -> void;

    int descriptor_;
    std::size_t capacity_;
    mutable std::mutex mutex_; ///< Guards all below.
    std::string line_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
    std::uint64_t untold_ = 0; // Dropped since the last line that told so.
};

} // namespace applehatch::telemetry
