/// A TCP relay that spoils connections on order.
#pragma once

#include "applehatch/experiment/relay-thread.h"

#include <deque>
#include <list>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// Stands between two processes on one hop. While partitioned, new connections are reset and open
/// ones carry nothing. Thread-safe.
class Relay final : public RelayThread
{
public:
    /// Listens on a free port of `ip`, or on `port`, and forwards to `target`.
    Relay(const std::string &ip, core::Address target, std::uint16_t port = 0);
    ~Relay() override;
    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;

    /// Connections open now carry nothing more, for good, and stay open; later ones work.
    auto silence() -> void;

    /// Resets the connections open now; later ones work.
    auto cut() -> void;

    /// Everything is carried this much later, either way.
    auto setDelay(milliseconds delay) -> void;

    [[nodiscard]] auto accepted() const -> std::size_t;

    /// Connections that carry, or could carry, data.
    [[nodiscard]] auto open() const -> std::size_t;

private:
    struct Parcel
    {
        Clock::time_point due;
        std::string data; ///< Empty closes.
    };

    struct Pipe
    {
        Socket near;
        Socket far;
        std::deque<Parcel> toFar;
        std::deque<Parcel> toNear;
        bool silent = false;
        bool dead = false;
    };

    auto carry(std::vector<pollfd> &waited) -> void override;
    auto acceptOne() -> void;
    auto takeIn(Socket &from, std::deque<Parcel> &queue) const -> void;
    auto passOn(Pipe &pipe, Socket &to, std::deque<Parcel> &queue) const -> void;

    core::Address target_;
    Socket listener_;
    std::list<Pipe> pipes_;
    milliseconds delay_{0};
    std::size_t accepted_ = 0;
};

} // namespace applehatch::experiment
