/// Stands between a sidecar and its engine and keeps orders on their way.
#pragma once

#include "applehatch/experiment/socket.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace applehatch::system_test {

/// Forwards everything to an engine, but orders of one kind only when released, also when the
/// sidecar that gave them is gone by then. Thread-safe.
class OrderHold
{
public:
    OrderHold(const std::string &ip, core::Address engine)
        : engine_(std::move(engine))
        , server_(ip, [this](experiment::Socket &near) { serve(near); })
    { }
    ~OrderHold() { release(); }
    OrderHold(const OrderHold &) = delete;
    auto operator=(const OrderHold &) -> OrderHold & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return server_.address(); }

    /// Holds the orders of `kind` from now on.
    auto hold(const std::string &kind) -> void
    {
        const std::lock_guard lock(mutex_);
        kind_ = kind;
    }

    /// Lets the orders held go on, and all later ones.
    auto release() -> void
    {
        const std::lock_guard lock(mutex_);
        kind_.clear();
        ++releases_;
        changed_.notify_all();
    }

    /// Orders on their way now.
    [[nodiscard]] auto held() const -> std::size_t
    {
        const std::lock_guard lock(mutex_);
        return held_;
    }

private:
    using Socket = experiment::Socket;

    auto serve(Socket &near) -> void
    {
        constexpr auto turn = std::chrono::milliseconds(5);
        auto far = Socket::connect(engine_);
        while (far.valid()) {
            if (auto data = near.receive(turn)) {
                if (data->empty()) {
                    return;
                }
                const auto isOrder = data->starts_with("POST /v1/orders");
                if (isOrder) {
                    readWhole(near, *data);
                    waitForRelease(*data);
                }
                if (!far.sendAll(*data)) {
                    return;
                }
                // The sidecar may be gone; closed at once, the engine might drop the order.
                if (isOrder && !passBack(near, far, experiment::patience)) {
                    return;
                }
            }
            if (!passBack(near, far, turn)) {
                return;
            }
        }
    }

    /// False once the engine closed or the sidecar is gone.
    static auto passBack(Socket &near, Socket &far, std::chrono::milliseconds limit) -> bool
    {
        const auto data = far.receive(limit);
        return !data || (!data->empty() && near.sendAll(*data));
    }

    static auto readWhole(Socket &near, std::string &data) -> void
    {
        const auto isWhole = [&data] {
            constexpr std::string_view name = "Content-Length: ";
            const auto end = data.find("\r\n\r\n");
            const auto length = data.find(name);
            return end != std::string::npos && length != std::string::npos
                && data.size() >= end + 4 + std::stoul(data.substr(length + name.size()));
        };
        while (!isWhole()) {
            const auto more = near.receive();
            if (!more || more->empty()) {
                return;
            }
            data += *more;
        }
    }

    auto waitForRelease(const std::string &data) -> void
    {
        std::unique_lock lock(mutex_);
        if (kind_.empty() || data.find('"' + kind_ + '"') == std::string::npos) {
            return;
        }
        ++held_;
        changed_.wait(lock, [this, before = releases_] { return releases_ != before; });
        --held_;
    }

    core::Address engine_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string kind_; ///< Held; empty holds none.
    std::size_t held_ = 0;
    std::size_t releases_ = 0;
    experiment::RawServer server_; ///< Last, so that it stops first.
};

} // namespace applehatch::system_test
