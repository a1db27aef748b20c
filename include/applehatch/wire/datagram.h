/// Digests over UDP.
#pragma once

#include "applehatch/core/digest.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace applehatch::wire {

/// Callbacks of a digest socket, called on its receiving thread unless noted otherwise.
struct DigestHooks
{
    std::function<void(core::Digest, const core::Address &from)> onDigest;
    std::function<void(std::size_t bytes)> onSent; ///< Called on the sending thread. May be empty.
    std::function<void(std::size_t bytes)> onReceived; ///< May be empty.
    std::function<void()> onMalformed;                 ///< A datagram was dropped. May be empty.
};

/// A bound UDP socket with a receiving thread. Lost datagrams are expected and not reported.
class DigestSocket
{
public:
    explicit DigestSocket(DigestHooks hooks);

    /// Stops the thread and closes the socket.
    ~DigestSocket();
    DigestSocket(const DigestSocket &) = delete;
    auto operator=(const DigestSocket &) -> DigestSocket & = delete;

    /// Binds the socket and starts receiving; may be called once. Port 0 picks a free port; `bound`
    /// returns the actual address.
    [[nodiscard]] auto bind(const core::Address &address, core::Address &bound) -> std::error_code;

    /// Sends one digest; drops it when it exceeds `maxDatagramBytes`. Thread-safe.
    auto send(const core::Address &to, const core::Digest &digest) -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::wire
