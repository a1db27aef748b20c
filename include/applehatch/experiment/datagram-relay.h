/// A UDP relay that loses datagrams on order.
#pragma once

#include "applehatch/experiment/socket.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace applehatch::experiment {

/// Stands before one process; what that process answers goes back to the one who asked.
/// Thread-safe.
class DatagramRelay
{
public:
    /// Listens on a free port of `ip` and forwards to `target`.
    DatagramRelay(const std::string &ip, core::Address target);
    ~DatagramRelay();
    DatagramRelay(const DatagramRelay &) = delete;
    auto operator=(const DatagramRelay &) -> DatagramRelay & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return address_; }

    /// While set, every datagram is lost either way.
    auto setPartitioned(bool partitioned) -> void;

    [[nodiscard]] auto carried() const -> std::size_t;
    [[nodiscard]] auto lost() const -> std::size_t;

private:
    using Source = std::pair<std::string, std::uint16_t>;

    auto loop() -> void;
    auto forward() -> void;
    auto giveBack(const Source &source, Socket &socket) -> void;
    auto mayCarry() -> bool;

    core::Address address_;
    core::Address target_;
    Socket listener_;
    mutable std::mutex mutex_;
    std::map<Source, Socket> sources_; ///< Each with the socket that speaks for it.
    bool partitioned_ = false;
    bool stopping_ = false;
    std::size_t carried_ = 0;
    std::size_t lost_ = 0;
    std::thread thread_;
};

} // namespace applehatch::experiment
