/// Connections on which a server's threads wait for the head of a request.
#pragma once

#include "applehatch/core/identity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace applehatch::process {

/// Ends waits for heads when few threads are left. Thread-safe.
///
/// Each connection holds a thread from its first moment on. Clients that say nothing would keep
/// all others out until the library gives up on them. The library does not tell whose head a thread
/// waits for, so these are looked for among all sockets: those of which no request was read.
class AwaitedHeads
{
public:
    AwaitedHeads() = default;
    AwaitedHeads(const AwaitedHeads &) = delete;
    auto operator=(const AwaitedHeads &) -> AwaitedHeads & = delete;

    auto setPort(std::uint16_t port) -> void { port_ = port; }
    /// A thread begins to wait on some connection, and ends that wait.
    auto begin() -> void;
    auto end() -> void;
    /// The request of this caller is served from now on, and then no longer.
    auto addServed(const std::string &caller) -> void;
    auto removeServed(const std::string &caller) -> void;

    /// Ends the longest waits while fewer than `spare` of `threads` are free; none that was noticed
    /// less than half a second ago. Returns how many.
    auto keepFree(std::size_t spare, std::size_t threads) -> std::size_t;
    /// How many threads fewer than `spare` of `threads` are free.
    [[nodiscard]] auto lacking(std::size_t spare, std::size_t threads) -> std::size_t;

private:
    /// Notices the connections that wait, and forgets those that do no longer.
    auto look() -> void;

    std::mutex mutex_; ///< Guards all that follows. No lock is taken under it.
    std::uint16_t port_ = 0;
    std::size_t waiting_ = 0;
    std::set<std::string> served_; ///< Callers, as `callerName` writes them.

    struct Wait
    {
        int socket = -1;
        core::Instant noticedAt;
        std::uint64_t number = 0; ///< In the order in which they were noticed.
        bool isEnded = false;
    };
    std::map<std::string, Wait> waits_; ///< By caller; empty while enough threads are free.
    std::uint64_t noticed_ = 0;
};

} // namespace applehatch::process
