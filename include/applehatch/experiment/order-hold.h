/// Stands between a sidecar and its engine and keeps orders on their way.
#pragma once

#include "applehatch/experiment/socket.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace applehatch::experiment {

/// Forwards everything to an engine, but orders of one kind only when released, also when the
/// sidecar that gave them is gone by then. Thread-safe.
class OrderHold
{
public:
    OrderHold(const std::string &ip, core::Address engine);
    ~OrderHold();
    OrderHold(const OrderHold &) = delete;
    auto operator=(const OrderHold &) -> OrderHold & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return server_.address(); }

    /// Holds the orders of `kind` from now on.
    auto hold(const std::string &kind) -> void;

    /// Lets the orders held go on, and all later ones.
    auto release() -> void;

    /// Orders on their way now.
    [[nodiscard]] auto held() const -> std::size_t;

private:
    auto serve(Socket &near) -> void;
    auto waitForRelease(const std::string &data) -> void;

    core::Address engine_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string kind_; ///< Held; empty holds none.
    std::size_t held_ = 0;
    std::size_t releases_ = 0;
    RawServer server_; ///< Last, so that it stops first.
};

} // namespace applehatch::experiment
