#include "applehatch/telemetry/bounded-output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace applehatch::telemetry {

namespace {

// A pipe that polls as writable accepts this many bytes without blocking: PIPE_BUF on Linux.
constexpr std::size_t writeBytes = 4096;

auto isWritable(int descriptor) -> bool
{
    pollfd polled{descriptor, POLLOUT, 0};
    return poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}

} // namespace

BoundedOutput::BoundedOutput(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{ }

auto BoundedOutput::dropped() const -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

auto BoundedOutput::overflow(int_type character) -> int_type
{
    const std::lock_guard lock(mutex_);
    if (!traits_type::eq_int_type(character, traits_type::eof()))
        line_ += traits_type::to_char_type(character);
    return traits_type::not_eof(character);
}

auto BoundedOutput::xsputn(const char *text, std::streamsize count) -> std::streamsize
{
    const std::lock_guard lock(mutex_);
    line_.append(text, static_cast<std::size_t>(count));
    return count;
}

auto BoundedOutput::sync() -> int
{
    const std::lock_guard lock(mutex_);
    writeAvailable();
    queueLine();
    writeAvailable();
    return 0;
}

auto BoundedOutput::queueLine() -> void
{
    const auto line = std::exchange(line_, {});
    if (pending_.size() + line.size() > capacity_) {
        ++dropped_;
        ++unreportedDrops_;
        return;
    }
    if (unreportedDrops_ > 0)
        pending_ += "level=warning event=log-dropped lines="
            + std::to_string(std::exchange(unreportedDrops_, 0)) + '\n';
    pending_ += line;
}

auto BoundedOutput::writeAvailable() -> void
{
    std::size_t done = 0;
    while (done < pending_.size() && isWritable(descriptor_)) {
        const auto size = std::min(writeBytes, pending_.size() - done);
        const auto count = write(descriptor_, pending_.data() + done, size);
        if (count <= 0)
            break; // A write error cannot be reported; lines stay queued until they are dropped.
        done += static_cast<std::size_t>(count);
    }
    pending_.erase(0, done);
}

} // namespace applehatch::telemetry
