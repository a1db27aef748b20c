/// Digests over UDP.
#pragma once

#include "applehatch/core/digest.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace applehatch::wire {

/// What happens on the socket; called on its receiving thread.
struct DigestHooks
{
    std::function<void(core::Digest, const core::Address &from)> onDigest;
    std::function<void(std::size_t bytes)> onSent;     ///< On the sending thread. May be empty.
    std::function<void(std::size_t bytes)> onReceived; ///< May be empty.
    std::function<void()> onMalformed;                 ///< Dropped. May be empty.
};

/// One bound socket with a receiving thread. Loss is normal and not reported.
class DigestSocket
{
public:
    explicit DigestSocket(DigestHooks hooks);

    /// Stops the thread and closes the socket.
    ~DigestSocket();
    DigestSocket(const DigestSocket &) = delete;
    auto operator=(const DigestSocket &) -> DigestSocket & = delete;

    /// Binds and starts receiving; once. Port 0 picks a free one, given back in `bound`.
    [[nodiscard]] auto bind(const core::Address &address, core::Address &bound) -> std::error_code;

    /// Sends one digest; dropped when it is larger than a datagram may be. Thread-safe.
    auto send(const core::Address &to, const core::Digest &digest) -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::wire
