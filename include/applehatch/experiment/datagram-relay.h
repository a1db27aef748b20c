/// A UDP relay that loses datagrams on order.
#pragma once

#include "applehatch/experiment/relay-thread.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace applehatch::experiment {

/// Stands before one process; what that process answers goes back to the one who asked. While
/// partitioned, every datagram is lost. Thread-safe.
class DatagramRelay final : public RelayThread
{
public:
    /// What is sent on in place of a datagram. Called from the relay's thread.
    using Rewrite = std::function<std::string(const std::string &)>;

    /// Listens on a free port of `ip`, or on `port`, and forwards to `target`.
    DatagramRelay(const std::string &ip, core::Address target, std::uint16_t port = 0,
                  Rewrite rewrite = {});
    ~DatagramRelay() override;
    DatagramRelay(const DatagramRelay &) = delete;
    auto operator=(const DatagramRelay &) -> DatagramRelay & = delete;

    [[nodiscard]] auto carried() const -> std::size_t;
    [[nodiscard]] auto lost() const -> std::size_t;

private:
    using Source = std::pair<std::string, std::uint16_t>;

    auto carry(std::vector<pollfd> &waited) -> void override;
    auto forward() -> void;
    auto giveBack(const Source &source, Socket &socket) -> void;
    auto mayCarry() -> bool;

    core::Address target_;
    Rewrite rewrite_;
    Socket listener_;
    std::map<Source, Socket> sources_; ///< Each with the socket that speaks for it.
    std::size_t carried_ = 0;
    std::size_t lost_ = 0;
};

} // namespace applehatch::experiment
