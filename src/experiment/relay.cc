#include "applehatch/experiment/relay.h"

#include <sys/socket.h>

#include <algorithm>

namespace applehatch::experiment {

Relay::Relay(const std::string &ip, core::Address target, std::uint16_t port)
    : RelayThread({ip, port})
    , target_(std::move(target))
    , listener_(listenOn(address_))
{
    start();
}

Relay::~Relay()
{
    stop();
}

auto Relay::silence() -> void
{
    const std::lock_guard lock(mutex_);
    for (auto &pipe : pipes_) {
        pipe.silent = true;
    }
}

auto Relay::cut() -> void
{
    const std::lock_guard lock(mutex_);
    for (auto &pipe : pipes_) {
        pipe.near.reset();
        pipe.far.reset();
    }
    pipes_.clear();
}

auto Relay::setDelay(milliseconds delay) -> void
{
    const std::lock_guard lock(mutex_);
    delay_ = delay;
}

auto Relay::accepted() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return accepted_;
}

auto Relay::open() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(pipes_.begin(), pipes_.end(), [](const Pipe &pipe) { return !pipe.silent; }));
}

auto Relay::acceptOne() -> void
{
    Socket near(::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!near.valid()) {
        return;
    }
    ++accepted_;
    auto far = partitioned_ ? Socket{} : Socket::connect(target_);
    if (!far.valid()) {
        near.reset();
        return;
    }
    near.setNoDelay();
    pipes_.push_back({std::move(near), std::move(far), {}, {}});
}

auto Relay::takeIn(Socket &from, std::deque<Parcel> &queue) const -> void
{
    if (!queue.empty() && queue.back().data.empty()) {
        return;
    }
    if (auto data = from.receive(milliseconds(0))) {
        queue.push_back({Clock::now() + delay_, std::move(*data)});
    }
}

auto Relay::passOn(Pipe &pipe, Socket &to, std::deque<Parcel> &queue) const -> void
{
    while (!queue.empty() && queue.front().due <= Clock::now()) {
        auto &data = queue.front().data;
        if (data.empty()) {
            pipe.dead = true;
            return;
        }
        const auto sent = to.sendSome(data);
        if (!sent) {
            pipe.dead = true;
            return;
        }
        data.erase(0, *sent);
        if (!data.empty()) {
            return;
        }
        queue.pop_front();
    }
}

auto Relay::carry(std::vector<pollfd> &waited) -> void
{
    constexpr std::size_t mostQueued = 64;
    waited.assign(1, {listener_.descriptor(), POLLIN, 0});
    if (::poll(waited.data(), 1, 0) > 0) {
        acceptOne();
    }
    for (auto &pipe : pipes_) {
        if (pipe.silent || partitioned_) {
            continue;
        }
        if (pipe.toFar.size() < mostQueued) {
            takeIn(pipe.near, pipe.toFar);
            waited.push_back({pipe.near.descriptor(), POLLIN, 0});
        }
        if (pipe.toNear.size() < mostQueued) {
            takeIn(pipe.far, pipe.toNear);
            waited.push_back({pipe.far.descriptor(), POLLIN, 0});
        }
        passOn(pipe, pipe.far, pipe.toFar);
        passOn(pipe, pipe.near, pipe.toNear);
    }
    std::erase_if(pipes_, [](const Pipe &pipe) { return pipe.dead; });
    std::erase_if(waited, [](const pollfd &entry) { return entry.fd < 0; });
}

} // namespace applehatch::experiment
