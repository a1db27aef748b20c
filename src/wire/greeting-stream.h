/// Byte stream of a link that takes little until its peer has shown that it is one.
#pragma once

#include <kj/async-io.h>

#include <cstddef>
#include <functional>

namespace applehatch::wire {

/// Ends with an error when more than a greeting comes before `isGreeted`. Memory for a message is
/// taken as its bytes come; a client that is no peer would otherwise have a process keep the
/// largest one, and many of them more than it has.
class GreetingStream final : public kj::AsyncIoStream
{
public:
    /// Far more than the two calls by which a peer requests a link.
    static constexpr std::size_t maxGreetingBytes = std::size_t{64} * 1024;

    GreetingStream(kj::Own<kj::AsyncIoStream> stream, std::function<bool()> isGreeted);

    auto tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes)
        -> kj::Promise<std::size_t> override;
    auto write(const void *buffer, std::size_t size) -> kj::Promise<void> override;
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
        -> kj::Promise<void> override;
    auto whenWriteDisconnected() -> kj::Promise<void> override;
    auto shutdownWrite() -> void override;
    auto abortRead() -> void override;

private:
    kj::Own<kj::AsyncIoStream> stream_;
    std::function<bool()> isGreeted_;
    std::size_t taken_ = 0; // Before the greeting was complete.
};

} // namespace applehatch::wire
