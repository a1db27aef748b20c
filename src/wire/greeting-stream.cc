#include "greeting-stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace applehatch::wire {

GreetingStream::GreetingStream(kj::Own<kj::AsyncIoStream> stream, std::function<bool()> isGreeted)
    : stream_(kj::mv(stream))
    , isGreeted_(std::move(isGreeted))
{ }

auto GreetingStream::tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes)
    -> kj::Promise<std::size_t>
{
    if (isGreeted_())
        return stream_->tryRead(buffer, minBytes, maxBytes);
    const auto left = maxGreetingBytes - taken_;
    if (minBytes > left)
        return KJ_EXCEPTION(DISCONNECTED, "too much before a link was requested");
    return stream_->tryRead(buffer, minBytes, std::min(maxBytes, left))
        .then([this](std::size_t count) {
            taken_ += count;
            return count;
        });
}

auto GreetingStream::write(const void *buffer, std::size_t size) -> kj::Promise<void>
{
    return stream_->write(buffer, size);
}

auto GreetingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
    -> kj::Promise<void>
{
    return stream_->write(pieces);
}

auto GreetingStream::whenWriteDisconnected() -> kj::Promise<void>
{
    return stream_->whenWriteDisconnected();
}

auto GreetingStream::shutdownWrite() -> void
{
    stream_->shutdownWrite();
}

auto GreetingStream::abortRead() -> void
{
    stream_->abortRead();
}

} // namespace applehatch::wire
