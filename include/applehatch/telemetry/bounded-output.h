/// Standard output that never blocks the writer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <streambuf>
#include <string>

namespace applehatch::telemetry {

/// Stream buffer over a descriptor that may stop accepting bytes.
///
/// The reader of a process's log may stop reading. A plain write would then block every request of
/// the process. This buffer queues lines in memory up to `capacity` bytes, drops and counts lines
/// beyond it, and reports the number of dropped lines once there is room again. Thread-safe.
class BoundedOutput : public std::streambuf
{
public:
    /// Size in bytes; holds about 1,000 lines, the output of a busy router in one second.
    static constexpr std::size_t defaultCapacity = 262144;

    explicit BoundedOutput(int descriptor, std::size_t capacity = defaultCapacity);

    [[nodiscard]] auto dropped() const -> std::uint64_t;

protected:
    auto overflow(int_type character) -> int_type override;
    auto xsputn(const char *text, std::streamsize count) -> std::streamsize override;
    /// Ends a line; writes as much as the descriptor accepts without blocking.
    auto sync() -> int override;

private:
    auto queueLine() -> void;
    auto writeAvailable() -> void;

    int descriptor_;
    std::size_t capacity_;
    mutable std::mutex mutex_; ///< Guards all members below.
    std::string line_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0; ///< Lines dropped since the last report.
};

} // namespace applehatch::telemetry
