#include "applehatch/experiment/order-hold.h"

#include <string_view>
#include <utility>

namespace applehatch::experiment {

namespace {

/// False once the engine closed or the sidecar is gone.
auto passBack(Socket &near, Socket &far, std::chrono::milliseconds limit) -> bool
{
    const auto data = far.receive(limit);
    return !data || (!data->empty() && near.sendAll(*data));
}

auto readWhole(Socket &near, std::string &data) -> void
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

} // namespace

OrderHold::OrderHold(const std::string &ip, core::Address engine)
    : engine_(std::move(engine))
    , server_(ip, [this](Socket &near) { serve(near); })
{ }

OrderHold::~OrderHold()
{
    release();
}

auto OrderHold::hold(const std::string &kind) -> void
{
    const std::lock_guard lock(mutex_);
    kind_ = kind;
}

auto OrderHold::release() -> void
{
    const std::lock_guard lock(mutex_);
    kind_.clear();
    ++releases_;
    changed_.notify_all();
}

auto OrderHold::held() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return held_;
}

auto OrderHold::serve(Socket &near) -> void
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
            if (isOrder && !passBack(near, far, patience)) {
                return;
            }
        }
        if (!passBack(near, far, turn)) {
            return;
        }
    }
}

auto OrderHold::waitForRelease(const std::string &data) -> void
{
    std::unique_lock lock(mutex_);
    if (kind_.empty() || data.find('"' + kind_ + '"') == std::string::npos) {
        return;
    }
    ++held_;
    changed_.wait(lock, [this, before = releases_] { return releases_ != before; });
    --held_;
}

} // namespace applehatch::experiment
